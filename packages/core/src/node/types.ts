/**
 * Types of one entry host, which combines all parts in one reducer over all events.
 */
import type {
	DataCentreId, JobId, MinionId, MonotonicMs, NodeId,
} from '@samphiremill/common';
import type {Map as ImmutableMap} from 'immutable';
import type {
	ClaimsConfig, ClaimsEffect, ClaimsEvent, ClaimsMessage, ClaimsState, OwnerAnswer,
} from '../claims/index.js';
import type {ControlState} from '../control/index.js';
import type {
	EscrowConfig, EscrowEffect, EscrowEvent, EscrowMessage, EscrowState, HeldRight,
} from '../escrow/index.js';
import type {
	JobsCfg, JobsEffect, JobsEvent, JobsState, TeamDemand,
} from '../jobs/index.js';
import type {
	MembershipEffect, MembershipEvent, MembershipMessage, MembershipPartConfig, MembershipState,
} from '../membership/index.js';
import type {MinionsMessage} from '../minions/index.js';
import type {Step} from '../step.js';

/** A message between entry hosts, other than the messages of the replicated log. */
export type NodeMessage = ClaimsMessage | EscrowMessage | MembershipMessage | MinionsMessage;

/** The state of one entry host, without the replicated log. */
export type NodeState = {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	/** The state that results from the applied commands of the replicated log. */
	readonly control: ControlState;
	readonly isConfigurationFresh: boolean;
	readonly membership: MembershipState;
	readonly claims: ClaimsState;
	readonly escrow: EscrowState;
	readonly jobs: JobsState;
	/** The slots that escrow has lent to this host. */
	readonly heldSlots: ImmutableMap<MinionId, HeldSlots>;
	/** The numbers of waiting and running jobs on this host, by pool and team. */
	readonly demands: ImmutableMap<string, TeamDemand>;
};

/** The slots that are held on one incarnation of a minion. */
export type HeldSlots = {
	readonly incarnation: number;
	readonly amount: number;
};

/** The configuration of the parts, which varies between deployments. */
export type NodeConfig = {
	readonly membership: MembershipPartConfig;
	readonly claims: ClaimsConfig;
	readonly escrow: EscrowConfig;
	readonly jobs: JobsCfg;
};

/** An event of one entry host. */
export type NodeEvent
	= | {
		readonly type: 'node/controlChanged';
		readonly control: ControlState;
		/** Whether the records date from before a restart of this process. */
		readonly isRestart: boolean;
		readonly nowMs: MonotonicMs;
	}
	| {readonly type: 'node/freshnessChanged'; readonly isFresh: boolean; readonly nowMs: MonotonicMs}
	| {readonly type: 'node/rightsHeld'; readonly rights: readonly HeldRight[]; readonly nowMs: MonotonicMs}
	| {readonly type: 'node/demandChanged'; readonly demands: readonly TeamDemand[]; readonly nowMs: MonotonicMs}
	| {readonly type: 'node/tick'; readonly nowMs: MonotonicMs}
	| {readonly type: 'peer/received'; readonly from: NodeId; readonly message: NodeMessage; readonly nowMs: MonotonicMs}
	| Exclude<ClaimsEvent, {readonly type: 'peer/received'}>
	| Exclude<EscrowEvent, {readonly type: 'peer/received'}>
	| JobsEvent
	| Exclude<MembershipEvent, {readonly type: 'peer/received'}>;

/** An effect of any part. */
export type PartEffect = ClaimsEffect | EscrowEffect | JobsEffect | MembershipEffect;

/** An effect of one part on another part. The shell never receives it. */
export type InternalEffect = Extract<PartEffect, {
	readonly type:
		| 'claims/answered'
		| 'claims/startRecorded'
		| 'escrow/held'
		| 'jobs/claim'
		| 'jobs/demandChanged'
		| 'jobs/limitUseChanged'
		| 'jobs/recordStart'
		| 'jobs/slotUseChanged'
		| 'membership/changed'
		| 'minions/changed';
}>;

/** An effect that the shell carries out. */
export type NodeEffect
	= | Exclude<PartEffect, InternalEffect>
		/** The stored answer to an earlier submission with the same key, for the caller of this job. */
		| {readonly type: 'node/replay'; readonly job: JobId; readonly answer: Extract<OwnerAnswer, {readonly type: 'replay'}>};

/** The next state of an entry host, and its effects. */
export type NodeStep = Step<NodeState, NodeEffect>;
