/**
 * What the operators' routes ask of the running daemon, and what they answer.
 */
import type {
	ChangeId, DataCentreId, JobId, NodeId, PoolId, TeamId, WallClockMs, WorkerId,
} from '@samphiremill/common';
import type {
	ControlAnswer, ControlState, FleetView, NodeHealth, OperatorCommand,
} from '@samphiremill/core';
import type {OperatorAccess, OperatorRole} from '../settings/types.js';

/** One request of an operator, read whole. */
export type ApiRequest = {
	/** Values of the `{name}` segments of the route's path, decoded. */
	readonly params: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
	/** Header values by lower-case name. */
	readonly headers: Readonly<Record<string, string | undefined>>;
	/** The body's text; empty where there is none. */
	readonly body: string;
};

/** One answer to an operator. */
export type ApiResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly document: unknown;
};

/** What became of a proposed command. */
export type ProposalOutcome
	= | {readonly type: 'committed'; readonly answer: ControlAnswer; readonly index: number}
	/** Nothing was proposed: there is no leader in reach. */
		| {readonly type: 'unavailable'}
	/** The answer was lost: the change may have been accepted. A resend under its change id tells. */
		| {readonly type: 'unknown'};

/** One entry host as the answering one knows it. */
export type HostStatus = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly health: NodeHealth;
	readonly role: 'leader' | 'follower' | 'candidate' | 'learner' | 'observer' | 'unknown';
	/** The log index up to which configuration is in force there, as last heard. */
	readonly appliedIndex: number;
};

/** The state of the entry hosts. */
export type FleetStatus = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly role: HostStatus['role'];
	readonly term: number;
	readonly leader?: NodeId;
	readonly commitIndex: number;
	readonly appliedIndex: number;
	/** Whether the configuration lease of the answering host is fresh. */
	readonly isFresh: boolean;
	/** Every entry host, the answering one among them, in order of id. */
	readonly hosts: readonly HostStatus[];
};

/** What one team got over a window. Slots are averages over the window. */
export type TeamShareReport = {
	readonly team: TeamId;
	readonly weight: number;
	readonly limit?: number;
	/** What weighted max-min gives the team for its demand. */
	readonly dueSlots: number;
	readonly grantedSlots: number;
	readonly usedSlots: number;
	readonly refusedJobs: number;
};

/** What an operator asks to have explained. */
export type ExplainSubject
	= | {readonly type: 'job'; readonly job: JobId}
		| {readonly type: 'worker'; readonly worker: WorkerId};

/** One decision about a job or a worker. */
export type ExplainedDecision = {
	readonly atMs: WallClockMs;
	readonly decision: string;
	readonly reason: string;
	readonly details: Readonly<Record<string, string | number | boolean>>;
};

/** The decisions that are still known, oldest first. */
export type Explanation = {
	readonly decisions: readonly ExplainedDecision[];
};

/** What the daemon gives the operators' routes. */
export type OperatorContext = {
	readonly operators: readonly OperatorAccess[];
	readonly getControlState: () => ControlState;
	readonly propose: (command: OperatorCommand) => Promise<ProposalOutcome>;
	/** What the answering host knows by itself. */
	readonly getStatus: () => FleetStatus;
	/** The same, with what the other entry hosts say of themselves when they are asked. */
	readonly requestFleetStatus: () => Promise<FleetStatus>;
	readonly getFleet: () => FleetView;
	/** Summed over the entry hosts that answer. */
	readonly requestShares: (input: {readonly windowMs: number}) => Promise<readonly TeamShareReport[]>;
	readonly explain: (subject: ExplainSubject) => Explanation | undefined;
	readonly getWallClockMs: () => WallClockMs;
	readonly createChangeId: () => ChangeId;
	/** Derives the secret of a key from the cluster secret, so that a resend gets the same one. */
	readonly deriveSecret: (text: string) => string;
};

/** A request whose operator is known. */
export type AuthorizedRequest = ApiRequest & {readonly operator: OperatorAccess};

/** One of the operators' routes. */
export type OperatorRoute = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** A path whose variable segments are written `{name}`. */
	readonly path: string;
	/** What an operator needs for this route. */
	readonly role: OperatorRole;
	/** Also answered by a host that has just started and has no records yet. */
	readonly isAnsweredWithoutRecords?: true;
	readonly handle: (req: AuthorizedRequest, context: OperatorContext) => Promise<ApiResponse> | ApiResponse;
};

/** One worker as operators see it. */
export type WorkerReport = {
	readonly worker: WorkerId;
	readonly dataCentre: DataCentreId;
	readonly rack: string;
	readonly homePool: PoolId;
	/** The pool that owns the worker at this moment. */
	readonly pool?: PoolId;
	/** The pool that the worker is on its way to. */
	readonly movingTo?: PoolId;
	readonly condition: 'up' | 'silent' | 'unknown';
};
