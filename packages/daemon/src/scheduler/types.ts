/**
 * What the scheduler's processes say to each other, and what they need of the world outside.
 */
import type {
	MinionId, NodeId, PoolId, Result, WaveId, WorkerId,
} from '@samphiremill/common';
import type {
	AdmissionRefusalReason, JobSpecification, IncarnationId, MinionRecord, RequestLimits, RunEnding, PublicJobState, StoreId, TaskId, Ticket, MaintenanceWave,
} from '@samphiremill/core';

/** Where a caller's request goes, and with which key. */
export type CallerTarget = {
	readonly host: string;
	readonly path: string;
	readonly key: string | undefined;
};

/** What a minion reports of itself. */
export type MinionReport = {
	readonly record: MinionRecord;
	readonly sequence: number;
	readonly isDraining: boolean;
	/** How long a draining minion stays at least. */
	readonly remainingMs: number | undefined;
};

/** A request that the leading control host decides on. */
export type ClusterCall
	= | {readonly type: 'job/submit'; readonly target: CallerTarget; readonly specification: JobSpecification}
		| {readonly type: 'job/read'; readonly target: CallerTarget}
		| {readonly type: 'job/cancel'; readonly target: CallerTarget}
		| {readonly type: 'configuration/replace'; readonly document: string}
		| {readonly type: 'configuration/read'}
		| {readonly type: 'minion/report'; readonly report: MinionReport}
		| {readonly type: 'minion/leave'; readonly minion: MinionId; readonly bornAtMs: number | undefined}
		| {readonly type: 'wave/start'; readonly wave: Pick<MaintenanceWave, 'wave' | 'workers' | 'maximumAtOnce'>; readonly durationMs: number}
		| {readonly type: 'wave/read'; readonly wave: WaveId}
		| {readonly type: 'host/join'; readonly node: NodeId; readonly storeId: StoreId}
		| {readonly type: 'limits/read'};

/** The answer to a `ClusterCall`. */
export type ClusterAnswer
	/** Stored; it is the same job if it was handed in before. */
	= | {readonly type: 'accepted'}
	/** Not stored, and never runs. */
		| {readonly type: 'refused'; readonly reason: AdmissionRefusalReason; readonly retryAfterMs: number}
		| {readonly type: 'jobState'; readonly state: PublicJobState}
		| {readonly type: 'pendingJobs'; readonly count: number}
		| {readonly type: 'unknownJob'}
		| {readonly type: 'unknownQueue'}
		| {readonly type: 'unknownKey'}
		| {readonly type: 'invalidRequest'; readonly message: string}
	/** No configuration is in force yet. */
		| {readonly type: 'noConfiguration'}
	/** Carried out, or already in force. */
		| {readonly type: 'done'}
		| {readonly type: 'configuration'; readonly document: string}
		| {readonly type: 'limits'; readonly limits: RequestLimits}
		| {readonly type: 'waveState'; readonly isCompleted: boolean}
		| {readonly type: 'unknownWave'}
	/** Nothing was done. */
		| {readonly type: 'unavailable'}
	/** It may have been carried out, or may yet be. */
		| {readonly type: 'uncertain'};

/** What a control host answers to another process. */
export type ClusterReply
	= | {readonly type: 'answer'; readonly answer: ClusterAnswer; readonly leader: NodeId}
	/** The request was not looked at. */
		| {readonly type: 'notLeader'; readonly leader: NodeId | undefined; readonly hosts: readonly NodeId[]};

/** The life of a minion that a call is meant for. */
export type MinionTarget = {
	readonly life: IncarnationId;
	readonly minion: MinionId;
	readonly bornAtMs: number;
	readonly address: string;
};

/** What became of a call to a minion. */
export type MinionAnswer<Value>
	= | {readonly type: 'answered'; readonly value: Value; readonly clockMs: number}
	/** Another life answers at the address. */
		| {readonly type: 'otherLife'}
	/** The minion is unhealthy and has done nothing. */
		| {readonly type: 'unhealthy'}
	/** The call was not understood; nothing was done. */
		| {readonly type: 'invalid'; readonly message: string}
	/** It never left this host. */
		| {readonly type: 'notSent'}
	/** It may have been carried out, or may yet be. */
		| {readonly type: 'noAnswer'};

/** One run that a minion lists as running. */
export type RunningEntry = {
	readonly task: TaskId;
	readonly run: number;
	readonly checkpoint: string;
	/** 100 once the task is at work at full pace. */
	readonly percent: number;
	/** Of a task that serves: the tail of its response times in milliseconds; else processors in use, in millicores. */
	readonly gauge: number;
};

/** One end that a minion lists until it is told that the end is noted. */
export type FinishedEntry = {
	readonly number: number;
	readonly task: TaskId;
	readonly run: number;
	readonly ending: RunEnding;
	readonly checkpoint: string;
};

/** What a minion says of its runs. */
export type HoldReport = {
	readonly bornAtMs: number | undefined;
	readonly running: readonly RunningEntry[];
	readonly finished: readonly FinishedEntry[];
};

/** Why a minion did not start a run. */
export type StartRefusal = 'fenced' | 'oldRun' | 'lateDeadline' | 'noRoom' | 'badTicket' | 'other';

/** The answer to a start. */
export type StartResult = {readonly type: 'started'} | {readonly type: 'refused'; readonly reason: StartRefusal};

/** Orders to minions. Every call resolves; none throws. */
export type MinionPort = {
	/** Extends the lease of all that runs there, takes note of ends, and waits for the next end. */
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
	/** Closes what is kept for addresses that are not in use any more. */
	readonly retain: (addresses: ReadonlySet<string>) => void;
};

/** A minion that an advice service allows, with its ticket. */
export type AdvisedMinion = {
	readonly minion: MinionId;
	readonly ticket: Ticket;
};

/** The service that knows which minions may run a step. */
export type AdvicePort = {
	readonly advise: (order: {readonly step: string; readonly minions: readonly MinionId[]; readonly timeoutMs: number}) => Promise<Result<readonly AdvisedMinion[], 'busy' | 'noAnswer' | 'invalid'>>;
};

/** What the platform made of an order for a worker. */
export type WorkerOrderResult = 'done' | 'fenced' | 'busy' | 'notDue' | 'unknown' | 'throttled' | 'noAnswer';

/** Who orders, so that an older order never undoes a newer one. */
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

/** Orders to the platform about workers. */
export type WorkerPort = {
	readonly beginUpkeep: (order: WorkerOrderAuthority & {readonly worker: WorkerId; readonly wave: WaveId}) => Promise<WorkerOrderResult>;
	/** All workers of the fleet, or why they can't be listed. */
	readonly list: () => Promise<Result<readonly ListedWorker[], 'throttled' | 'noAnswer' | 'invalid'>>;
	readonly moveToPool: (order: WorkerOrderAuthority & {readonly worker: WorkerId; readonly pool: PoolId}) => Promise<WorkerOrderResult>;
};

/** A check of an operator's configuration. */
export type ConfigurationFinding = {
	readonly path: string;
	readonly message: string;
};

/** One call of `ClusterClient`, and how it went. */
export type ClusterCallResult
	= | {readonly type: 'answered'; readonly answer: ClusterAnswer}
	/** No control host took the call. */
		| {readonly type: 'notRun'}
	/** It may have been carried out. */
		| {readonly type: 'uncertain'};
