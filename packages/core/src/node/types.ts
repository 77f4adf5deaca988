/**
 * One entry host: all parts joined behind one reducer over all events.
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

/** What entry hosts say to each other, the replicated log apart. */
export type NodeMessage = ClaimsMessage | EscrowMessage | MembershipMessage | MinionsMessage;

/** Everything that one entry host knows, the replicated log apart. */
export type NodeState = {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	/** The applied records. */
	readonly control: ControlState;
	readonly isConfigurationFresh: boolean;
	readonly membership: MembershipState;
	readonly claims: ClaimsState;
	readonly escrow: EscrowState;
	readonly jobs: JobsState;
	/** The slots that escrow has lent to this host. */
	readonly heldSlots: ImmutableMap<MinionId, HeldSlots>;
	/** What waits and runs here, by pool and team. */
	readonly demands: ImmutableMap<string, TeamDemand>;
};

/** Slots of one incarnation of a minion. */
export type HeldSlots = {
	readonly incarnation: number;
	readonly amount: number;
};

/** What varies between deployments. */
export type NodeConfig = {
	readonly membership: MembershipPartConfig;
	readonly claims: ClaimsConfig;
	readonly escrow: EscrowConfig;
	readonly jobs: JobsCfg;
};

/** Everything that can happen to one entry host. */
export type NodeEvent
	= | {
		readonly type: 'node/controlChanged';
		readonly control: ControlState;
		/** The records come from before a restart of this process. */
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

/** The effects of the parts. */
export type PartEffect = ClaimsEffect | EscrowEffect | JobsEffect | MembershipEffect;

/** Effects that one part has on another and that the shell never sees. */
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

/** What the shell carries out. */
export type NodeEffect
	= | Exclude<PartEffect, InternalEffect>
		/** The kept answer of an earlier send of the same key, for the caller of this job. */
		| {readonly type: 'node/replay'; readonly job: JobId; readonly answer: Extract<OwnerAnswer, {readonly type: 'replay'}>};

/** The next state of an entry host and its effects. */
export type NodeStep = Step<NodeState, NodeEffect>;
