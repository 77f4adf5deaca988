/**
 * Jobs of steps and tasks, the minions that run them, and the configuration they run under.
 */
import type {
	Brand, DataCentreId, JobId, MinionId, NodeId, PoolId, QueueId, RackId, TeamId, WaveId, WorkerId,
} from '@samphiremill/common';
import type {StoreId} from '../replica/index.js';
import type {WorkIndex} from './work-index.js';

/** One task of one occurrence of a job. */
export type TaskId = Brand<string, 'TaskId'>;
/** One life of a minion, from its start to its end. A restart under the same id is another life. */
export type IncarnationId = Brand<string, 'LifeId'>;
/** What a queue's advice service hands out for one step on one minion. */
export type Ticket = Brand<string, 'Ticket'>;

/** An amount of what a worker has. */
export type Resources = {
	readonly cpuMillicores: number;
	readonly memoryMb: number;
	readonly gpus: number;
};

/** One step of a job: a number of like tasks. */
export type StepSpecification = {
	readonly count: number;
	/** What each task takes. */
	readonly request: Resources;
	/** The submitter's guess of one task's duration. */
	readonly estimateMs: number;
	/** Indexes of earlier steps that must be done first. */
	readonly dependsOn: readonly number[];
	readonly hasCheckpoints: boolean;
	/** The tasks run only all together. */
	readonly isGang: boolean;
	/** The tasks are slower when they are spread over more than one rack. */
	readonly isRackLocal: boolean;
	readonly requiredLabel: string | undefined;
	/** The rack that holds the step's data. */
	readonly dataRack: RackId | undefined;
	/** How many tasks of an occurrence may run on one minion; no bound if absent. */
	readonly maximumPerMinion: number | undefined;
	/** Copies of a task may run in parallel; the first to finish counts. */
	readonly allowsCopies: boolean;
	/** The tasks run until the job is cancelled. */
	readonly isLasting: boolean;
	readonly image: string;
	/** Bound on the tail of the response times of a task that serves users. */
	readonly tailBoundMs: number | undefined;
	/** The tasks use processors that others leave idle, and take none of the minion's room. */
	readonly isFiller: boolean;
	/** How many tasks of a lasting step the system may make unavailable at once. */
	readonly disruptionBudget: number | undefined;
};

/** When the occurrences of a repeated job are due. */
export type Schedule = {
	readonly firstDueAtMs: number;
	readonly intervalMs: number;
	readonly count: number;
};

/** A job as its submitter describes it. */
export type JobSpecification = {
	/** Handed to the minions unread. */
	readonly payload: string;
	readonly steps: readonly StepSpecification[];
	readonly schedule: Schedule | undefined;
};

/** How long a queue's advice service takes, and how long its answer holds. */
export type AdvicePolicy = {
	readonly decisionMs: number;
	readonly perWorkerMs: number;
	readonly validityMs: number;
};

/** One queue of a configuration. */
export type QueueDefinition = {
	readonly queue: QueueId;
	readonly host: string;
	readonly pathPrefix: string;
	readonly pool: PoolId;
	/** 0 goes first. */
	readonly priority: number;
	readonly maximumAttempts: number;
	/** The objective of a job is this many times its longest chain, and `startLatencyMs` more. */
	readonly stretchFactor: number;
	readonly startLatencyMs: number;
	readonly timeoutMs: number;
	/** Needs no key. */
	readonly isOpen: boolean;
	readonly advice: AdvicePolicy | undefined;
};

/** One pool of a configuration. */
export type PoolDefinition = {
	readonly pool: PoolId;
	/** The pool's minions reject what does not fit. */
	readonly guardsCapacity: boolean;
	/** The pool's machines are switched off. */
	readonly isStandby: boolean;
};

/** One team of a configuration. */
export type TeamDefinition = {
	readonly team: TeamId;
	readonly keys: readonly string[];
	readonly weight: number;
	/** What the team may have running on all minions together; 0 means unbounded. */
	readonly maximum: Resources;
};

/** Bounds on what callers may send. */
export type RequestLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One whole configuration. */
export type FleetConfiguration = {
	readonly version: number;
	readonly queues: readonly QueueDefinition[];
	readonly pools: readonly PoolDefinition[];
	readonly teams: readonly TeamDefinition[];
	readonly limits: RequestLimits;
};

/** A configuration in force, with the indexes that requests need. */
export type ActiveConfiguration = FleetConfiguration & {
	/** The text that the operator sent. */
	readonly document: string;
	readonly queuesByHost: ReadonlyMap<string, readonly QueueDefinition[]>;
	readonly queuesById: ReadonlyMap<QueueId, QueueDefinition>;
	readonly teamsByKey: ReadonlyMap<string, TeamDefinition>;
	readonly teamsById: ReadonlyMap<TeamId, TeamDefinition>;
};

/** What a minion says of itself when a life of it begins. */
export type MinionRecord = {
	readonly life: IncarnationId;
	readonly minion: MinionId;
	/** The Unix time of the start of this life, in milliseconds. */
	readonly bornAtMs: number;
	/** An IP number and a port. */
	readonly address: string;
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	readonly rack: RackId | undefined;
	readonly labels: readonly string[];
	readonly capacity: Resources;
};

/** How a run of a task ended. */
export type RunEnding
	/** The task is done. */
	= | 'done'
	/** Through its own fault or the minion's; counts as an attempt. */
		| 'failed'
	/** Ended by a stop of ours. */
		| 'stopped'
	/** The lease ran out, or the minion ended. */
		| 'lapsed'
	/** Another member of the gang ended. */
		| 'gangBroken'
	/** The other members of the gang did not come in time. */
		| 'gangIncomplete'
	/** The minion refused the start. */
		| 'refused';

/** One run of a task on a minion. Runs of a task are numbered from 1. */
export type TaskRun = {
	readonly number: number;
	readonly life: IncarnationId;
};

/** Where a task stands. */
export type Task = {
	readonly id: TaskId;
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
	readonly runs: readonly TaskRun[];
	readonly lastRunNumber: number;
	/** Runs that were given up when a lease ran out; its report of their end still counts. */
	readonly lapsedRuns: readonly TaskRun[];
	readonly failures: number;
	/** The newest saved progress; empty if there is none. */
	readonly checkpoint: string;
	readonly isDone: boolean;
};

/** One step of one occurrence. */
export type StepProgress = {
	readonly tasks: Task[];
	doneCount: number;
	/** Tasks without a run that are not done. */
	idleCount: number;
};

/** One occurrence of a job. */
export type Occurrence = {
	readonly steps: readonly StepProgress[];
};

/** The demand on one pool, lasting tasks apart. */
export type PoolWorkload = {
	/** Processors that lasting tasks take or wait for. */
	readonly longRunningMillicores: number;
	/** Lasting tasks that run nowhere. */
	readonly waitingLongRunningCount: number;
	/** Processors that other tasks use. */
	readonly runningMillicores: number;
	/** Processors that tasks wait for which could start now. */
	readonly readyMillicores: number;
	/** The work that is still to be done, in millicore milliseconds. */
	readonly workLeft: number;
};

/** Where a job stands. */
export type JobStatus = 'active' | 'completed' | 'failed' | 'cancelled';

/** An accepted job. Its status, occurrences and counts change in place, by `applyLedgerCommand` only. */
export type Job = {
	readonly id: JobId;
	readonly queue: QueueId;
	readonly pool: PoolId;
	readonly team: TeamId | undefined;
	readonly priority: number;
	readonly maximumAttempts: number;
	readonly stretchFactor: number;
	readonly startLatencyMs: number;
	readonly advice: AdvicePolicy | undefined;
	readonly specification: JobSpecification;
	/** The Unix time of the acceptance, in milliseconds. */
	readonly acceptedAtMs: number;
	status: JobStatus;
	/** The Unix time of the end, in milliseconds. */
	endedAtMs: number | undefined;
	hasStarted: boolean;
	/** Dropped once the job has ended and its last run is gone. */
	occurrences: readonly Occurrence[];
	runCount: number;
};

/** A maintenance wave: each worker has its upkeep once, a bounded number at a time. */
export type MaintenanceWave = {
	readonly wave: WaveId;
	readonly workers: readonly WorkerId[];
	readonly maximumAtOnce: number;
	readonly startedAtMs: number;
	readonly dueAtMs: number;
	/** Workers whose upkeep was ordered. */
	readonly ordered: ReadonlyMap<WorkerId, MaintenanceOrder>;
};

/** An order to the platform to begin the upkeep of a worker. It is noted before it is sent. */
export type MaintenanceOrder = {
	/** The life that the upkeep ends; absent for a worker that is switched off. */
	readonly life: IncarnationId | undefined;
	/** When the platform was known to have begun it, as Unix time in milliseconds. */
	readonly begunAtMs: number | undefined;
};

/** The latest order to the platform for a worker. It is noted before it is sent. */
export type WorkerOrder = {
	/** The term of the leader that gave it. */
	readonly term: number;
	/** It may be sent again. */
	readonly isOpen: boolean;
};

/** A control host that asked to take part, under its newest data folder. */
export type ControlHostRecord = {
	readonly node: NodeId;
	readonly storeId: StoreId;
};

/** The runs of one life and the room they take. */
export type IncarnationUsage = {
	readonly record: MinionRecord;
	/** The number of each run, by its task. A minion has at most one run of a task. */
	readonly runs: Map<TaskId, number>;
	/** Runs that were given up when its lease ran out, by their tasks. Orders to start them may still arrive. */
	readonly lapsed: Map<TaskId, number>;
	readonly used: MutableResources;
	/** It said that it will leave. */
	isDraining: boolean;
};

/** Resources that a ledger counts in place. */
export type MutableResources = {
	cpuMillicores: number;
	memoryMb: number;
	gpus: number;
};

/**
 * Everything that must survive a change of leader. It changes in place, by `applyLedgerCommand` only:
 * each control host applies the same commands in the same order.
 */
export type Ledger = {
	/** The newest leader's term; decisions of an older one are void. */
	term: number;
	configuration: ActiveConfiguration | undefined;
	readonly jobs: Map<JobId, Job>;
	/** The jobs that are neither done nor given up, oldest first. */
	readonly activeJobs: Set<Job>;
	readonly incarnations: Map<IncarnationId, IncarnationUsage>;
	readonly usedByTeam: Map<TeamId, MutableResources>;
	readonly waves: Map<WaveId, MaintenanceWave>;
	readonly workerOrders: Map<WorkerId, WorkerOrder>;
	readonly controlHosts: Map<NodeId, ControlHostRecord>;
	/** Derived from the rest, and from the time. */
	readonly index: WorkIndex;
};

/** A job that a control host accepts. */
export type AcceptedJob = Pick<Job, 'id' | 'queue' | 'pool' | 'team' | 'priority' | 'maximumAttempts' | 'stretchFactor' | 'startLatencyMs' | 'advice' | 'specification' | 'acceptedAtMs'>;

/** One run that a leader decides on. */
export type RunAssignment = {
	readonly task: TaskId;
	readonly run: number;
	readonly life: IncarnationId;
};

/** One end of a run. */
export type RunEnd = RunAssignment & {
	readonly ending: RunEnding;
	/** Progress that the run saved; empty if none. */
	readonly checkpoint: string;
};

/** What is agreed through the replicated log. */
export type LedgerCommand
	/** Opens the time of a leader. */
	= | {readonly type: 'term/begun'; readonly term: number}
		| {readonly type: 'configuration/replaced'; readonly document: string}
	/** Void unless `term` is still the newest, so that a refusal by a later leader stays true. */
		| {readonly type: 'job/accepted'; readonly term: number; readonly job: AcceptedJob}
		| {readonly type: 'job/cancelled'; readonly id: JobId; readonly atMs: number}
	/** Void unless `term` is still the newest. */
		| {readonly type: 'runs/assigned'; readonly term: number; readonly runs: readonly RunAssignment[]}
		| {readonly type: 'runs/ended'; readonly term: number; readonly ends: readonly RunEnd[]; readonly atMs: number}
		| {readonly type: 'minion/joined'; readonly term: number; readonly record: MinionRecord}
		| {readonly type: 'minion/left'; readonly term: number; readonly life: IncarnationId}
	/** The minion said that it will leave. */
		| {readonly type: 'minion/draining'; readonly term: number; readonly life: IncarnationId}
		| {readonly type: 'wave/started'; readonly wave: Omit<MaintenanceWave, 'ordered'>}
		| {readonly type: 'wave/workerOrdered'; readonly term: number; readonly wave: WaveId; readonly worker: WorkerId; readonly life: IncarnationId | undefined}
	/** The life that ran on the worker is over. */
		| {readonly type: 'wave/workerBegun'; readonly term: number; readonly wave: WaveId; readonly worker: WorkerId; readonly atMs: number}
	/** An order to the platform for a worker is about to be sent. */
		| {readonly type: 'worker/ordered'; readonly term: number; readonly worker: WorkerId}
	/** It is not sent again. */
		| {readonly type: 'worker/orderEnded'; readonly term: number; readonly worker: WorkerId}
		| {readonly type: 'controlHost/joined'; readonly record: ControlHostRecord}
		| {readonly type: 'jobs/forgotten'; readonly ids: readonly JobId[]}
	/** Commands that are decided together, applied in order. */
		| {readonly type: 'batch'; readonly commands: readonly LedgerCommand[]};

/** What became of a command. */
export type LedgerOutcome
	= | {readonly type: 'applied'}
	/** The command was void: too old, or a repetition of one that was applied before. */
		| {readonly type: 'ignored'}
	/** The assignments that took effect; the others had been overtaken. */
		| {readonly type: 'assigned'; readonly runs: readonly RunAssignment[]}
		| {readonly type: 'batch'; readonly outcomes: readonly LedgerOutcome[]};

/** Turns an operator's text into a configuration; the same text gives the same on every host. */
export type ParseConfiguration = (document: string) => FleetConfiguration | undefined;
