/**
 * Types of the operator API: requests, answers, and the functions of the daemon that the routes call.
 */
import type {
	ChangeId, DataCentreId, JobId, NodeId, PoolId, TeamId, WallClockMs, WorkerId,
} from '@samphiremill/common';
import type {
	ControlAnswer, ControlState, FleetView, NodeHealth, OperatorCommand,
} from '@samphiremill/core';
import type {OperatorAccess, OperatorRole} from '../settings/types.js';

/** A request of an operator, with its complete body. */
export type ApiRequest = {
	/** Values of the `{name}` segments of the route's path, decoded. */
	readonly params: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
	/** Header values by lower-case name. */
	readonly headers: Readonly<Record<string, string | undefined>>;
	/** The body as text; empty if there is none. */
	readonly body: string;
};

/** An answer to an operator. */
export type ApiResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly document: unknown;
};

/** The result of proposing a command to the replicated log. */
export type ProposalOutcome
	= | {readonly type: 'committed'; readonly answer: ControlAnswer; readonly index: number}
	/** The command was not proposed because no leader is reachable. */
		| {readonly type: 'unavailable'}
	/** The answer was lost: the change may have been accepted. A resend with the same change id gets the answer. */
		| {readonly type: 'unknown'};

/** The state of one entry host as the answering host knows it. */
export type HostStatus = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly health: NodeHealth;
	readonly role: 'leader' | 'follower' | 'candidate' | 'learner' | 'observer' | 'unknown';
	/** The log index up to which that host has applied the configuration, as last reported. */
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
	/** Whether the answering host holds a valid configuration lease. */
	readonly isFresh: boolean;
	/** Every entry host including the answering one, sorted by id. */
	readonly hosts: readonly HostStatus[];
};

/** The capacity that one team was granted and used in a time window. Slots are averages over the window. */
export type TeamShareReport = {
	readonly team: TeamId;
	readonly weight: number;
	readonly limit?: number;
	/** The team's fair share: its weighted max-min share of the slots for its demand. */
	readonly dueSlots: number;
	readonly grantedSlots: number;
	readonly usedSlots: number;
	readonly refusedJobs: number;
};

/** The job or worker whose decisions an operator requests. */
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

/** The decisions that are still recorded, oldest first. */
export type Explanation = {
	readonly decisions: readonly ExplainedDecision[];
};

/** The data and functions of the daemon that the operators' routes use. */
export type OperatorContext = {
	readonly operators: readonly OperatorAccess[];
	readonly getControlState: () => ControlState;
	readonly propose: (command: OperatorCommand) => Promise<ProposalOutcome>;
	/** Returns the status that this host knows, without a request to other hosts. */
	readonly getStatus: () => FleetStatus;
	/** Returns the status with the reports that the other entry hosts give on request. */
	readonly requestFleetStatus: () => Promise<FleetStatus>;
	readonly getFleet: () => FleetView;
	/** Returns each team's shares, summed over the entry hosts that answer. */
	readonly requestShares: (input: {readonly windowMs: number}) => Promise<readonly TeamShareReport[]>;
	readonly explain: (subject: ExplainSubject) => Explanation | undefined;
	readonly getWallClockMs: () => WallClockMs;
	readonly createChangeId: () => ChangeId;
	/** Derives the secret of a key from the cluster secret, so that a resent request gets the same secret. */
	readonly deriveSecret: (text: string) => string;
};

/** A request whose operator is authenticated and has the role for the route. */
export type AuthorizedRequest = ApiRequest & {readonly operator: OperatorAccess};

/** A route of the operator API. */
export type OperatorRoute = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** The path; variable segments are written `{name}`. */
	readonly path: string;
	/** The role that the operator must have. */
	readonly role: OperatorRole;
	/** Whether a host that has just started and has no records yet answers this route too. */
	readonly isAnsweredWithoutRecords?: true;
	readonly handle: (req: AuthorizedRequest, context: OperatorContext) => Promise<ApiResponse> | ApiResponse;
};

/** The state of a worker in the lists of workers and moves. */
export type WorkerReport = {
	readonly worker: WorkerId;
	readonly dataCentre: DataCentreId;
	readonly rack: string;
	readonly homePool: PoolId;
	/** The pool that owns the worker now. */
	readonly pool?: PoolId;
	/** The pool that the worker is being moved to. */
	readonly movingTo?: PoolId;
	readonly condition: 'up' | 'silent' | 'unknown';
};
