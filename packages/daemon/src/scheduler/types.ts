/**
 * Messages between the scheduler's processes, and the ports through which it reaches minions, the advice
 * service and the platform.
 */
import type {
	MinionId, NodeId, PoolId, Result, WaveId, WorkerId,
} from '@samphiremill/common';
import type {
	AdmissionRefusalReason, JobSpecification, IncarnationId, MinionRecord, RequestLimits, RunEnding, PublicJobState, StoreId, TaskId, Ticket, MaintenanceWave,
} from '@samphiremill/core';

/** The address of a caller's request and the API key that it carries. */
export type CallerTarget = {
	readonly host: string;
	readonly path: string;
	readonly key: string | undefined;
};

/** A minion's report on itself. */
export type MinionReport = {
	readonly record: MinionRecord;
	readonly sequence: number;
	readonly isDraining: boolean;
	/** The minimum time in milliseconds that a draining minion keeps running. */
	readonly remainingMs: number | undefined;
};

/** A report that a control host which does not lead has answered, since it tells the leader nothing else. */
export type SeenReport = {
	readonly life: IncarnationId;
	readonly sequence: number;
	/** How long ago the report arrived, in milliseconds. */
	readonly ageMs: number;
};

/** A request that only the leading control host answers. */
export type ClusterCall
	= | {readonly type: 'job/submit'; readonly target: CallerTarget; readonly specification: JobSpecification}
		| {readonly type: 'job/read'; readonly target: CallerTarget}
		| {readonly type: 'job/cancel'; readonly target: CallerTarget}
		| {readonly type: 'configuration/replace'; readonly document: string}
		| {readonly type: 'configuration/read'}
		| {readonly type: 'minion/report'; readonly report: MinionReport}
		| {readonly type: 'minion/reportsSeen'; readonly reports: readonly SeenReport[]}
		| {readonly type: 'minion/leave'; readonly minion: MinionId; readonly bornAtMs: number | undefined}
		| {readonly type: 'wave/start'; readonly wave: Pick<MaintenanceWave, 'wave' | 'workers' | 'maximumAtOnce'>; readonly durationMs: number}
		| {readonly type: 'wave/read'; readonly wave: WaveId}
		| {readonly type: 'host/join'; readonly node: NodeId; readonly storeId: StoreId}
		| {readonly type: 'limits/read'};

/** The answer to a `ClusterCall`. */
export type ClusterAnswer
	/** The job is stored. If it was submitted before, this is the answer for the same job. */
	= | {readonly type: 'accepted'}
	/** The job is not stored and never runs. */
		| {readonly type: 'refused'; readonly reason: AdmissionRefusalReason; readonly retryAfterMs: number}
		| {readonly type: 'jobState'; readonly state: PublicJobState}
		| {readonly type: 'pendingJobs'; readonly count: number}
		| {readonly type: 'unknownJob'}
		| {readonly type: 'unknownQueue'}
		| {readonly type: 'unknownKey'}
		| {readonly type: 'invalidRequest'; readonly message: string}
	/** No configuration has been set yet. */
		| {readonly type: 'noConfiguration'}
	/** The request was executed, or was already in effect. */
		| {readonly type: 'done'}
		| {readonly type: 'configuration'; readonly document: string}
		| {readonly type: 'limits'; readonly limits: RequestLimits}
		| {readonly type: 'waveState'; readonly isCompleted: boolean}
		| {readonly type: 'unknownWave'}
	/** The request was not executed. */
		| {readonly type: 'unavailable'}
	/** The request may have been executed, or may still be. */
		| {readonly type: 'uncertain'};

/** A control host's reply to a `ClusterCall` from another process. */
export type ClusterReply
	= | {
		readonly type: 'answer';
		readonly answer: ClusterAnswer;
		readonly leader: NodeId;
		/** The control hosts that the leader reaches; only in answers to calls that are repeated at intervals. */
		readonly hosts?: readonly NodeId[];
	}
	/** The request was not processed. */
	| {readonly type: 'notLeader'; readonly leader: NodeId | undefined; readonly hosts: readonly NodeId[]};

/** The incarnation of a minion that a call is addressed to. */
export type MinionTarget = {
	readonly life: IncarnationId;
	readonly minion: MinionId;
	readonly bornAtMs: number;
	readonly address: string;
};

/** The result of a call to a minion. */
export type MinionAnswer<Value>
	= | {readonly type: 'answered'; readonly value: Value; readonly clockMs: number}
	/** Another incarnation answers at the address. */
		| {readonly type: 'otherLife'}
	/** The minion is unhealthy and did not execute the call. */
		| {readonly type: 'unhealthy'}
	/** The minion rejected the call as malformed and did not execute it. */
		| {readonly type: 'invalid'; readonly message: string}
	/** The call was never sent. `isRefused`: the host at the address refused the connection, so no process listens there. */
		| {readonly type: 'notSent'; readonly isRefused?: boolean}
	/** The call may have been executed, or may still be. */
		| {readonly type: 'noAnswer'};

/** A run that a minion lists as running. */
export type RunningEntry = {
	readonly task: TaskId;
	readonly run: number;
	readonly checkpoint: string;
	/** Progress of the task; 100 once a long-running task serves at full pace. */
	readonly percent: number;
	/** For a serving task, its tail latency in milliseconds; otherwise the processor time in use, in millicores. */
	readonly gauge: number;
};

/** An ended run that a minion lists until the leader acknowledges it. */
export type FinishedEntry = {
	readonly number: number;
	readonly task: TaskId;
	readonly run: number;
	readonly ending: RunEnding;
	readonly checkpoint: string;
};

/** A minion's listing of its runs, returned by a hold call. */
export type HoldReport = {
	readonly bornAtMs: number | undefined;
	readonly running: readonly RunningEntry[];
	readonly finished: readonly FinishedEntry[];
	/** How many rows could not be read and were left out, so that the listing may be incomplete; `undefined` if none. */
	readonly malformedRows?: number;
};

/** Why a minion did not start a run. */
export type StartRefusal = 'fenced' | 'oldRun' | 'lateDeadline' | 'noRoom' | 'badTicket' | 'other';

/** The answer to a start order. */
export type StartResult = {readonly type: 'started'} | {readonly type: 'refused'; readonly reason: StartRefusal};

/** Sends orders to minions. Calls always resolve and never throw. */
export type MinionPort = {
	/** Renews the lease on all runs of the minion, acknowledges ended runs, and waits for the next one to end (long poll). */
	readonly hold: (order: {
		readonly target: MinionTarget;
		readonly fencingToken: number;
		readonly lastSeen: number;
		readonly deadlineMs: number | undefined;
		readonly waitMs: number;
		readonly timeoutMs: number;
	}) => Promise<MinionAnswer<HoldReport | 'fenced'>>;
	readonly start: (order: {
		readonly target: MinionTarget;
		readonly fencingToken: number;
		readonly task: TaskId;
		readonly run: number;
		readonly payload: string;
		readonly deadlineMs: number;
		readonly checkpoint: string;
		readonly ticket: Ticket | undefined;
		readonly timeoutMs: number;
	}) => Promise<MinionAnswer<StartResult>>;
	readonly stop: (order: {
		readonly target: MinionTarget;
		readonly fencingToken: number;
		readonly task: TaskId;
		readonly run: number;
		readonly timeoutMs: number;
	}) => Promise<MinionAnswer<'stopping' | 'fenced'>>;
	readonly pace: (order: {
		readonly target: MinionTarget;
		readonly fencingToken: number;
		readonly task: TaskId;
		readonly run: number;
		readonly percent: number;
		readonly timeoutMs: number;
	}) => Promise<MinionAnswer<'paced' | 'fenced'>>;
	/** Releases the connections and state of all other addresses. */
	readonly retain: (addresses: ReadonlySet<string>) => void;
};

/** A minion that the advice service allows for a step, with the ticket to start it there. */
export type AdvisedMinion = {
	readonly minion: MinionId;
	readonly ticket: Ticket;
};

/** The advice service, which knows which minions may run a step. */
export type AdvicePort = {
	readonly advise: (order: {readonly step: string; readonly minions: readonly MinionId[]; readonly timeoutMs: number}) => Promise<Result<readonly AdvisedMinion[], 'busy' | 'noAnswer' | 'invalid'>>;
};

/** The platform's answer to an order for a worker. */
export type WorkerOrderResult = 'done' | 'fenced' | 'busy' | 'notDue' | 'unknown' | 'throttled' | 'noAnswer';

/** The sender of an order. The fencing token keeps an older order from overriding a newer one. */
export type WorkerOrderAuthority = {
	readonly holder: string;
	readonly fencingToken: number;
};

/** A worker as the platform lists it. */
export type ListedWorker = {
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly state: 'up' | 'moving' | 'upkeep' | 'down';
	readonly millicores: number;
};

/** Sends orders for workers to the platform. */
export type WorkerPort = {
	readonly beginUpkeep: (order: WorkerOrderAuthority & {readonly worker: WorkerId; readonly wave: WaveId}) => Promise<WorkerOrderResult>;
	/** Lists all workers of the fleet. */
	readonly list: () => Promise<Result<readonly ListedWorker[], 'throttled' | 'noAnswer' | 'invalid'>>;
	readonly moveToPool: (order: WorkerOrderAuthority & {readonly worker: WorkerId; readonly pool: PoolId}) => Promise<WorkerOrderResult>;
};

/** A problem found in an operator's configuration. */
export type ConfigurationFinding = {
	readonly path: string;
	readonly message: string;
};

/** The result of a call through `ClusterClient`. */
export type ClusterCallResult
	= | {readonly type: 'answered'; readonly answer: ClusterAnswer}
	/** No control host accepted the call. */
		| {readonly type: 'notRun'}
	/** The call may have been executed. */
		| {readonly type: 'uncertain'};
