/**
 * The scheduler's data model: jobs with their steps and tasks, the minions that run them, the fleet
 * configuration, and the commands of the replicated log.
 */
import type {
	Brand, DataCentreId, JobId, MinionId, NodeId, PoolId, QueueId, RackId, TeamId, WaveId, WorkerId,
} from '@samphiremill/common';
import type {StoreId} from '../replica/index.js';
import type {DoneOccurrences} from './done-occurrences.js';
import type {AssignmentLimit} from './run-limits.js';
import type {WorkIndex} from './work-index.js';

/** Identifies one task of one occurrence of a job. */
export type TaskId = Brand<string, 'TaskId'>;
/**
 * Identifies one incarnation of a minion: one process lifetime, from its start to its end. A restart under
 * the same minion id is another incarnation. Stored records and messages name the field `life`.
 */
export type IncarnationId = Brand<string, 'LifeId'>;
/** A permit from a queue's advice service to run one step on one minion. */
export type Ticket = Brand<string, 'Ticket'>;

/** An amount of compute resources. */
export type Resources = {
	readonly cpuMillicores: number;
	readonly memoryMb: number;
	readonly gpus: number;
};

/** One step of a job: a number of identical tasks. */
export type StepSpecification = {
	readonly count: number;
	/** The resources that each task reserves. */
	readonly request: Resources;
	/** The duration of one task as the submitter estimates it. */
	readonly estimateMs: number;
	/** Indexes of the earlier steps that must be done before this one starts. */
	readonly dependsOn: readonly number[];
	readonly hasCheckpoints: boolean;
	/** The tasks form a gang: they run all at the same time or not at all. */
	readonly isGang: boolean;
	/** The tasks run slower if they are spread over several racks. */
	readonly isRackLocal: boolean;
	readonly requiredLabel: string | undefined;
	/** The rack that holds the step's data. */
	readonly dataRack: RackId | undefined;
	/** How many tasks of an occurrence may run on one minion; unlimited if `undefined`. */
	readonly maximumPerMinion: number | undefined;
	/** A task may run as two copies at once (speculative execution); the first copy to finish counts. */
	readonly allowsCopies: boolean;
	/** The tasks are long-running: they run until the job is cancelled. */
	readonly isLasting: boolean;
	readonly image: string;
	/** Upper limit for the tail latency of a task that serves users, in milliseconds. */
	readonly tailBoundMs: number | undefined;
	/** The tasks are fillers: they use processor time that other tasks leave idle and reserve none. */
	readonly isFiller: boolean;
	/** How many tasks of a long-running step the scheduler may make unavailable at the same time. */
	readonly disruptionBudget: number | undefined;
};

/** The times at which the occurrences of a repeated job are due. */
export type Schedule = {
	readonly firstDueAtMs: number;
	readonly intervalMs: number;
	readonly count: number;
};

/** A job as submitted. */
export type JobSpecification = {
	/** Passed to the minions unchanged; the scheduler does not read it. */
	readonly payload: string;
	readonly steps: readonly StepSpecification[];
	readonly schedule: Schedule | undefined;
};

/** How long a queue's advice service takes to answer, and how long its answer is valid. */
export type AdvicePolicy = {
	readonly decisionMs: number;
	readonly perWorkerMs: number;
	readonly validityMs: number;
};

/** Host and path prefix of a queue. They stay when the queue is replaced by one of another name, or by one that is open to all. */
export type QueuePlace = Brand<string, 'QueuePlace'>;

/** A queue of the fleet configuration. */
export type QueueDefinition = {
	readonly queue: QueueId;
	readonly host: string;
	readonly pathPrefix: string;
	readonly pool: PoolId;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly maximumAttempts: number;
	/** The time objective of a job is its longest chain of steps times this factor, plus `startLatencyMs`. */
	readonly stretchFactor: number;
	readonly startLatencyMs: number;
	readonly timeoutMs: number;
	/** Requests need no API key. */
	readonly isOpen: boolean;
	readonly advice: AdvicePolicy | undefined;
};

/** A pool of the fleet configuration. */
export type PoolDefinition = {
	readonly pool: PoolId;
	/** The pool's minions reject tasks that exceed their capacity. */
	readonly guardsCapacity: boolean;
	/** The pool's workers are switched off. */
	readonly isStandby: boolean;
};

/** A team of the fleet configuration. */
export type TeamDefinition = {
	readonly team: TeamId;
	readonly keys: readonly string[];
	readonly weight: number;
	/** The resources that the team may use on all minions together; 0 means unlimited. */
	readonly maximum: Resources;
};

/** Limits on the requests of callers. */
export type RequestLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A complete fleet configuration. */
export type FleetConfiguration = {
	readonly version: number;
	readonly queues: readonly QueueDefinition[];
	readonly pools: readonly PoolDefinition[];
	readonly teams: readonly TeamDefinition[];
	readonly limits: RequestLimits;
};

/** The configuration in force, with indexes for looking up queues and teams. */
export type ActiveConfiguration = FleetConfiguration & {
	/** The configuration document as the operator sent it. */
	readonly document: string;
	readonly queuesByHost: ReadonlyMap<string, readonly QueueDefinition[]>;
	readonly queuesById: ReadonlyMap<QueueId, QueueDefinition>;
	readonly teamsByKey: ReadonlyMap<string, TeamDefinition>;
	readonly teamsById: ReadonlyMap<TeamId, TeamDefinition>;
};

/** What a minion reports about itself. Only its capacity changes while an incarnation lives. */
export type MinionRecord = {
	readonly life: IncarnationId;
	readonly minion: MinionId;
	/** The start of this incarnation, as Unix time in milliseconds. */
	readonly bornAtMs: number;
	/** An IP address and a port. */
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
	/** The run completed its task. */
	= | 'done'
	/** The run failed through the task's or the minion's fault. It counts as an attempt. */
		| 'failed'
	/** The scheduler stopped the run. */
		| 'stopped'
	/** The lease of the minion expired, or the minion ended. */
		| 'lapsed'
	/** Another member of the gang ended. */
		| 'gangBroken'
	/** The other members of the gang did not start in time. */
		| 'gangIncomplete'
	/** The minion refused the start. */
		| 'refused';

/** One run of a task on one incarnation of a minion. The runs of a task are numbered from 1. */
export type TaskRun = {
	readonly number: number;
	readonly life: IncarnationId;
};

/** How sure it is that the minion of a lost run crashed: it fell silent, its host refuses connections, or it has certainly ended unplanned. */
export type LossEvidence = 'silent' | 'refused' | 'crashed';

/** A run that was lost with its minion. */
export type RunLoss = {
	readonly life: IncarnationId;
	/** When the minion was lost, in milliseconds; even Unix time of the leader's term, so that only differences count. */
	readonly atMs: number;
	/** How long the run had run by then, in milliseconds; `undefined` if that is unknown. */
	readonly ranMs: number | undefined;
	readonly evidence: LossEvidence;
	/** Another minion was lost at the same moment although nothing had just started there, which suggests a common cause. */
	readonly isShared: boolean;
	/** The minion crashed, and its job was the only one there that was suspected of crashing minions. */
	readonly isAlone: boolean;
};

/** The state of a task. */
export type Task = {
	readonly id: TaskId;
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
	readonly runs: readonly TaskRun[];
	readonly lastRunNumber: number;
	/** Runs whose lease expired before their end was known. The minion's report of such an end still counts. */
	readonly lapsedRuns: readonly TaskRun[];
	readonly failures: number;
	/** The latest runs that were lost with their minion shortly after their start; empty once a run has outlasted these. */
	readonly losses: readonly RunLoss[];
	/** The newest checkpoint; empty if there is none. */
	readonly checkpoint: string;
	readonly isDone: boolean;
};

/** The progress of one step of one occurrence. */
export type StepProgress = {
	readonly tasks: Task[];
	doneCount: number;
	/** How many tasks are not done and have no run. */
	idleCount: number;
};

/** One occurrence of a job. */
export type Occurrence = {
	readonly steps: readonly StepProgress[];
};

/** The demand on one pool, with long-running tasks counted separately. */
export type PoolWorkload = {
	/** Processor capacity that long-running tasks use or wait for. */
	readonly longRunningMillicores: number;
	/** How many long-running tasks have no run. */
	readonly waitingLongRunningCount: number;
	/** Processor capacity that other tasks use. */
	readonly runningMillicores: number;
	/** Processor capacity that tasks wait for whose step may start now. */
	readonly readyMillicores: number;
	/** The remaining work, in millicore milliseconds. */
	readonly workLeft: number;
};

/** The state of a job. */
export type JobStatus = 'active' | 'completed' | 'failed' | 'cancelled';

/** The task for which a job was given up, and the incarnations that crashed under it. */
export type GiveUpReason = {
	readonly task: TaskId;
	readonly lives: readonly IncarnationId[];
};

/** The unplanned end of an incarnation. */
export type MinionCrash = {
	readonly life: IncarnationId;
	/** As Unix time in milliseconds. */
	readonly atMs: number;
	readonly tasks: readonly TaskId[];
	/** Whether a run had just started on the minion. */
	readonly isSudden: boolean;
	/** Whether a job was given up as its cause. */
	readonly isExplained: boolean;
};

/** An accepted job. Only `applyLedgerCommand` changes its mutable fields, in place. */
export type Job = {
	readonly id: JobId;
	readonly queue: QueueId;
	readonly pool: PoolId;
	readonly team: TeamId | undefined;
	/** Host and path prefix that it was submitted under. Absent from jobs that an earlier version accepted. */
	readonly place?: QueuePlace;
	readonly priority: number;
	readonly maximumAttempts: number;
	readonly stretchFactor: number;
	readonly startLatencyMs: number;
	readonly advice: AdvicePolicy | undefined;
	/** Emptied once the job has ended and none of its runs is left. */
	specification: JobSpecification;
	/** The duration of its longest chain of steps, in milliseconds, as estimated; 0 if the job had ended when its host learnt of it. */
	readonly chainMs: number;
	/** When the job was accepted, as Unix time in milliseconds. */
	readonly acceptedAtMs: number;
	status: JobStatus;
	/** When the job ended, as Unix time in milliseconds; `undefined` while it is active. */
	endedAtMs: number | undefined;
	/** Whether a run was ever assigned. */
	hasStarted: boolean;
	/** Whether a minion has confirmed a run, as far as the log tells. */
	isStartConfirmed: boolean;
	/** Why the job was given up; `undefined` unless one of its tasks crashed minions. */
	givenUp: GiveUpReason | undefined;
	/** Whether the job has ended and none of its runs is left, so that its tasks are not kept. */
	isReleased: boolean;
	/** The occurrences that hold tasks, by number; none once the job has ended and none of its runs is left. */
	readonly occurrences: Map<number, Occurrence>;
	/** The occurrences of a schedule that are done, and hold no tasks any more. */
	readonly doneOccurrences: DoneOccurrences;
	runCount: number;
};

/** A maintenance wave: takes each listed worker down for maintenance once, a limited number at a time. */
export type MaintenanceWave = {
	readonly wave: WaveId;
	readonly workers: readonly WorkerId[];
	readonly maximumAtOnce: number;
	readonly startedAtMs: number;
	readonly dueAtMs: number;
	/** The workers whose maintenance was ordered. */
	readonly ordered: ReadonlyMap<WorkerId, MaintenanceOrder>;
};

/** An order to the platform to start the maintenance of a worker. It is recorded before it is sent. */
export type MaintenanceOrder = {
	/** The incarnation that the maintenance ends; `undefined` for a worker that is switched off. */
	readonly life: IncarnationId | undefined;
	/** When the platform confirmed that it has started, as Unix time in milliseconds; `undefined` until then. */
	readonly begunAtMs: number | undefined;
};

/** The latest order to the platform for a worker. It is recorded before it is sent. */
export type WorkerOrder = {
	/** The term of the leader that sent the order. */
	readonly term: number;
	/** Whether the order may be sent again. */
	readonly isOpen: boolean;
	/** The incarnation on the worker when it was ordered; once it is gone, the order has been carried out. Absent if there was none, and from snapshots of earlier versions. */
	readonly life?: IncarnationId;
};

/** A control host that asked to join the cluster, with the id of its newest data folder. */
export type ControlHostRecord = {
	readonly node: NodeId;
	readonly storeId: StoreId;
};

/** The runs on one incarnation of a minion, and the resources that they reserve. */
export type IncarnationUsage = {
	/** Replaced when the capacity changes. */
	record: MinionRecord;
	/** The number of the report that changed the capacity last; `undefined` if none did, or an earlier version recorded it. */
	capacitySequence: number | undefined;
	/** Run numbers by task. A minion has at most one run of a task. */
	readonly runs: Map<TaskId, number>;
	/** Run numbers of lapsed runs by task: their lease expired, but orders to start them may still arrive. */
	readonly lapsed: Map<TaskId, number>;
	readonly used: MutableResources;
	/** Whether the minion announced that it will leave. */
	isDraining: boolean;
	/**
	 * Whether the minion started again under its id, and a call for an earlier incarnation may have granted this one its longest lease: the
	 * deadline of such a call is on the clock of the earlier one.
	 */
	mayHoldForeignLease: boolean;
};

/** An amount of resources that is updated in place. */
export type MutableResources = {
	cpuMillicores: number;
	memoryMb: number;
	gpus: number;
};

/**
 * The replicated state of the scheduler, which survives a change of leader. Only `applyLedgerCommand`
 * changes it, in place: each control host applies the same commands in the same order.
 */
export type Ledger = {
	/** The term of the newest leader; decisions of earlier leaders are ignored. */
	term: number;
	configuration: ActiveConfiguration | undefined;
	readonly jobs: Map<JobId, Job>;
	/** Bytes of memory that the jobs take, by estimate. */
	storedBytes: number;
	/** The jobs with status `active`, oldest first. */
	readonly activeJobs: Set<Job>;
	/** Runs whose minion may not have confirmed their start yet, as far as the log tells, in the order of their assignment. */
	readonly uncertainStarts: Map<RunKey, UncertainStart>;
	/** The starts that may still be under way to any incarnation of a minion, by task, in the order of their runs. A run that ends or lapses leaves its start here. */
	readonly startsUnderWay: Map<TaskId, readonly StartUnderWay[]>;
	/** How many commands have assigned runs. */
	assignmentCount: number;
	/** The minions whose incarnations ended; the latest ones, oldest first. One that comes back under its id follows an earlier incarnation. */
	readonly endedMinions: Set<MinionId>;
	/** Who cancelled jobs that were not accepted yet, by the id of the job; the latest ids, oldest first. */
	readonly earlyCancels: Map<JobId, readonly JobCaller[]>;
	readonly incarnations: Map<IncarnationId, IncarnationUsage>;
	readonly usedByTeam: Map<TeamId, MutableResources>;
	readonly waves: Map<WaveId, MaintenanceWave>;
	readonly workerOrders: Map<WorkerId, WorkerOrder>;
	readonly controlHosts: Map<NodeId, ControlHostRecord>;
	/** The latest crashes, oldest first. */
	crashes: readonly MinionCrash[];
	/** Derived from the other fields and the current time. */
	readonly index: WorkIndex;
};

/** Who asks for a job, or cancels it. */
export type JobCaller = {
	/** `undefined` for a caller without a key. */
	readonly team: TeamId | undefined;
	/** Where the caller asks, if the queue there is open to all. */
	readonly openPlace?: QueuePlace;
};

/** The fields of a job that are fixed when it is accepted. */
export type AcceptedJob = Pick<Job, 'id' | 'queue' | 'pool' | 'team' | 'place' | 'priority' | 'maximumAttempts' | 'stretchFactor' | 'startLatencyMs' | 'advice' | 'specification' | 'acceptedAtMs'>;

/** A leader's decision to run a task on an incarnation of a minion. */
export type RunAssignment = {
	readonly task: TaskId;
	readonly run: number;
	readonly life: IncarnationId;
};

/**
 * Why an assignment did not take effect: its job has ended, its task is done or has all its runs, the number of the run is used, the minion
 * has left, a limit would be broken, or another member of the gang was refused.
 */
export type AssignmentRefusal = 'jobEnded' | 'taskDone' | 'copies' | 'runNumber' | 'minionLeft' | 'gang' | AssignmentLimit;

/** Identifies a run of a task: `TASK#NUMBER`. */
export type RunKey = Brand<string, 'RunKey'>;

/** An assigned run of which it is not known for certain that its incarnation has started it. */
export type UncertainStart = RunAssignment & {
	/** The number of the command that assigned it. */
	readonly assignment: number;
};

/** A start that got no answer and may still be carried out, by any incarnation of its minion; `life` is the one that it was for. */
export type StartUnderWay = RunAssignment & {
	readonly minion: MinionId;
	/**
	 * Whether its minion has answered a call that was sent after it. Then the start was delayed by itself; otherwise the minion may have been lost before it
	 * came, and nothing is under way. Absent from commands and snapshots of earlier versions.
	 */
	readonly isOvertaken?: boolean;
};

/** Which starts the leader knows to be certain: all that were assigned up to a command, but for those listed. Absent from commands of earlier versions. */
export type StartReport = {
	readonly upTo: number;
	readonly uncertain: readonly RunKey[];
};

/** An assignment that did not take effect. */
export type RefusedAssignment = RunAssignment & {
	readonly reason: AssignmentRefusal;
};

/** The end of a run. */
export type RunEnd = RunAssignment & {
	readonly ending: RunEnding;
	/** The checkpoint that the run saved; empty if none. */
	readonly checkpoint: string;
};

/** A run that a minion had when it was lost. */
export type LostRun = {
	readonly task: TaskId;
	readonly run: number;
	/** How long it had run, in milliseconds; `undefined` if that is unknown. */
	readonly ranMs: number | undefined;
};

/** What the leader knows of the loss of a minion. */
export type MinionLoss = {
	/** In milliseconds; even Unix time of the leader's term, so that only differences count. */
	readonly atMs: number;
	/** Whether the minion's host refused connections. It does so after a crash, but also behind a cut that resets connections. */
	readonly isRefused: boolean;
	/** Whether another minion that has not been removed yet was lost at the same moment, and nothing had just started there. */
	readonly isShared: boolean;
	/** The runs that had started, as far as the leader knows them. */
	readonly runs: readonly LostRun[];
};

/** Assigns runs. Each of them that would break a limit is refused; in entries of earlier versions, without `keepsLimits`, none is. */
export type RunsAssignedCommand = {
	readonly type: 'runs/assigned';
	readonly term: number;
	readonly runs: readonly RunAssignment[];
	readonly keepsLimits?: true;
	readonly startReport?: StartReport;
};
/** Jobs of which a minion has confirmed a run since the leader's last command with such jobs. Absent from commands of earlier versions. */
export type StartedJobs = readonly JobId[];

/** A command of the replicated log. */
export type LedgerCommand
	/** Starts the term of a leader. */
	= | {readonly type: 'term/begun'; readonly term: number}
		| {readonly type: 'configuration/replaced'; readonly document: string}
	/** Ignored unless `term` is still the newest, so that a job which a later leader refused is not accepted afterwards. Refused if there is no memory for it; in entries of earlier versions, without `keepsBounds`, never. */
		| {readonly type: 'job/accepted'; readonly term: number; readonly job: AcceptedJob; readonly keepsBounds?: true}
	/** With `caller` also a cancel of a job that its caller's leader does not know: one that is accepted later is refused. Absent from commands of earlier versions. */
		| {readonly type: 'job/cancelled'; readonly id: JobId; readonly atMs: number; readonly caller?: JobCaller}
	/** Ignored unless `term` is still the newest. */
		| RunsAssignedCommand
		| {readonly type: 'runs/ended'; readonly term: number; readonly ends: readonly RunEnd[]; readonly atMs: number; /** If the ends lapsed with a minion that does not answer. */ readonly loss?: MinionLoss; readonly startedJobs?: StartedJobs; readonly startReport?: StartReport}
	/** `losses` holds the earlier incarnations that ended before this one started on their worker, as far as the leader knew them. */
		| {readonly type: 'minion/joined'; readonly term: number; readonly record: MinionRecord; readonly losses?: ReadonlyArray<MinionLoss & {readonly life: IncarnationId}>; readonly startedJobs?: StartedJobs}
	/** `loss` is present if the incarnation has certainly ended, and nobody announced its end. */
		| {readonly type: 'minion/left'; readonly term: number; readonly life: IncarnationId; readonly loss?: MinionLoss; readonly startedJobs?: StartedJobs}
	/** The minion reported another capacity than before. */
		| {readonly type: 'minion/resized'; readonly term: number; readonly life: IncarnationId; readonly capacity: Resources; /** The number of the report. Absent from commands of earlier versions. */ readonly sequence?: number}
	/** The minion announced that it will leave. */
		| {readonly type: 'minion/draining'; readonly term: number; readonly life: IncarnationId}
	/** A lease that a call for an earlier incarnation may have granted this one is over. */
		| {readonly type: 'minion/settled'; readonly term: number; readonly life: IncarnationId}
	/** Starts that may still be under way, and such that must have arrived. */
		| {readonly type: 'starts/underWay'; readonly term: number; readonly starts: readonly StartUnderWay[]; readonly arrived: ReadonlyArray<Pick<StartUnderWay, 'task' | 'run'>>}
		| {readonly type: 'wave/started'; readonly wave: Omit<MaintenanceWave, 'ordered'>}
	/** Ignored if the wave has another number of ordered workers than `orderedBefore`, which its maximum was checked for. Absent from commands of earlier versions. */
		| {readonly type: 'wave/workerOrdered'; readonly term: number; readonly wave: WaveId; readonly worker: WorkerId; readonly life: IncarnationId | undefined; readonly orderedBefore?: number}
	/** The platform has started the maintenance, which ended the incarnation on the worker. */
		| {readonly type: 'wave/workerBegun'; readonly term: number; readonly wave: WaveId; readonly worker: WorkerId; readonly atMs: number}
	/** Recorded before an order for the worker is sent to the platform. */
		| {readonly type: 'worker/ordered'; readonly term: number; readonly worker: WorkerId}
	/** The order is not sent again. */
		| {readonly type: 'worker/orderEnded'; readonly term: number; readonly worker: WorkerId}
		| {readonly type: 'controlHost/joined'; readonly record: ControlHostRecord}
		| {readonly type: 'jobs/forgotten'; readonly ids: readonly JobId[]}
	/** Commands that are committed together and applied in order. */
		| {readonly type: 'batch'; readonly commands: readonly LedgerCommand[]};

/** What was concluded from a crash. */
export type CrashVerdict = {
	readonly crash: MinionCrash;
	/** Tasks of earlier crashes that had just started on the minion. */
	readonly suspects: readonly TaskId[];
	readonly isShared: boolean;
	/** The job that was given up. */
	readonly givenUp: JobId | undefined;
};

/** Why the ledger does not accept a job: its hosts have no memory for it, or it was cancelled before. */
export type JobRefusal = 'storeFull' | 'cancelled';

/** The result of applying a command. */
export type LedgerOutcome
	= | {
		readonly type: 'applied';
		/** The crashes that the command recorded. */
		readonly crashes?: readonly CrashVerdict[];
	}
	/** The command had no effect: it is out of date, or was applied before. */
	| {readonly type: 'ignored'}
	/** The job was not accepted. */
	| {readonly type: 'jobRefused'; readonly reason: JobRefusal}
	/** The assignments that took effect, and those that were no longer valid. */
	| {readonly type: 'assigned'; readonly runs: readonly RunAssignment[]; readonly refused: readonly RefusedAssignment[]}
	/** The command could not be applied, on any host: it is malformed, of an unknown type, or led to an error. */
	| {
		readonly type: 'failed';
		readonly reason: string;
		/** Whether the error came while the command was applied, so that a part of it may be in the ledger. */
		readonly mayHaveEffect: boolean;
	}
	| {readonly type: 'batch'; readonly outcomes: readonly LedgerOutcome[]};

/** Parses a configuration document. It must be deterministic, since every control host parses the same document. */
export type ParseConfiguration = (document: string) => FleetConfiguration | undefined;
