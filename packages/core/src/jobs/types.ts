/**
 * Types of the job lifecycle on one entry host, from submission to the one outcome of a job.
 */
import type {
	IdempotencyKey,
	JobId,
	MinionId,
	MonotonicMs,
	PoolId,
	QueueId,
	RandomSource,
	TeamId,
	WorkerId,
} from '@samphiremill/common';
import type {WorkerHealthCfg} from '../placement/index.js';

/** The resources that a caller declares for a job. */
export type DeclaredSize = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly runTimeMs: number;
};

/** Urgent jobs go first as long as the urgent jobs of their team alone stay within its fair share. */
export type Urgency = 'urgent' | 'ordinary';

/** A job as a caller submitted it. The shell keeps the body under the job's id. */
export type JobSpec = {
	readonly job: JobId;
	readonly queue: QueueId;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly idempotencyKey?: IdempotencyKey;
	/** Whether the caller states that it has never sent this key before. */
	readonly isFirstSend?: boolean;
	/** SHA-256 of the body in hexadecimal. It is compared when an idempotency key is used again. */
	readonly bodyHash: string;
	/** Whether the job may be dispatched again after an attempt was lost. */
	readonly isIdempotent: boolean;
	readonly urgency: Urgency;
	readonly declared?: DeclaredSize;
	readonly submittedAtMs: MonotonicMs;
	readonly deadlineAtMs: MonotonicMs;
};

/** Why a job was refused. The reason limits which `Ran` values an outcome may carry. */
export type RefusalReason
	= | 'queueFull'
		| 'deadlineTooNear'
		| 'fitsNowhere'
		| 'noMinion'
		| 'limitReached'
		| 'failedEverywhere'
		| 'keyNotAccepted'
		| 'configurationStale'
		| 'ownerUnreachable'
		| 'keyConflict'
		| 'keyInProgress'
		| 'stopping'
		| 'cancelled'
		| 'attemptLost'
		| 'deadlinePassed'
		| 'bodyBudgetFull';

/** Whether the job ran, as far as it is known. */
export type Ran = 'no' | 'maybe' | 'yes';

/** The final outcome of a job. */
export type JobOutcome
	= | {readonly type: 'answered'; readonly minion: MinionId; readonly status: number}
		| {
			readonly type: 'refused';
			readonly reason: RefusalReason;
			readonly ran: Ran;
			/** The time after which the caller should retry; absent if a retry does not help. */
			readonly retryAfterMs?: number;
		};

/** A minion as the placement sees it. */
export type PlaceableMinion = {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly rack: string;
	readonly cores: number;
	readonly memoryMb: number;
	/** Slots that this node may use now. */
	readonly heldSlots: number;
	/** Maximum number of open connections from this node to the minion. */
	readonly connections: number;
	readonly isAcceptingWork: boolean;
};

/** The fields of a queue record that decisions depend on. */
export type QueuePolicy = {
	readonly queue: QueueId;
	readonly pool: PoolId;
};

/** The fields of a team record that decisions depend on. */
export type TeamPolicy = {
	readonly team: TeamId;
	readonly weight: number;
	/**
	 * Whether the team has an upper limit. A limited team runs at most the amount granted by
	 * `jobs/limitHeld`, and nothing before the first grant.
	 */
	readonly isLimited: boolean;
};

/** The committed records that decisions depend on. */
export type JobsPolicy = {
	readonly queues: readonly QueuePolicy[];
	readonly teams: readonly TeamPolicy[];
};

/** The answer of the owner of an idempotency key to a claim. */
export type ClaimAnswer
	= | {readonly type: 'granted'}
		| {readonly type: 'replay'; readonly outcome: JobOutcome}
		| {readonly type: 'conflict'}
		| {readonly type: 'inProgress'}
		| {readonly type: 'unknown'};

/** How an attempt failed. */
export type AttemptFailureKind
	= | 'connectRefused'
		| 'connectTimeout'
		| 'reset'
		| 'timeout'
		/** The minion reported that it has no free capacity. It does not hold any part of the job. */
		| 'busy'
		/** The platform or the minion stopped the task and reported it. */
		| 'stopped';

/** The measured resource use of a finished task. It is reported with a delay. */
export type TaskUsage = {
	readonly queue: QueueId;
	readonly team: TeamId;
	readonly cores: number;
	readonly memoryMb: number;
	readonly runTimeMs: number;
};

/** The number of jobs of a team that run in a pool on the other entry hosts of the data centre. */
export type RunningElsewhere = {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly running: number;
};

/** Identifies one attempt of one job. */
export type JobAttempt = {
	readonly job: JobId;
	/** Number of the attempt on this node, starting at 1. */
	readonly attempt: number;
};

type At<Event> = Event & {readonly nowMs: MonotonicMs};

/** An event that the jobs reducer handles. */
export type JobsEvent
	= | At<{readonly type: 'jobs/submitted'; readonly spec: JobSpec}>
		| At<{readonly type: 'jobs/claimAnswered'; readonly job: JobId; readonly answer: ClaimAnswer}>
		/** The start record was replicated to a second host or synced to disk (`ok`), or could not be written. */
		| At<JobAttempt & {readonly type: 'jobs/startRecorded'; readonly ok: boolean}>
		| At<{readonly type: 'jobs/policyChanged'; readonly policy: JobsPolicy}>
		/** The complete list of minions known to this node. */
		| At<{readonly type: 'jobs/minionsChanged'; readonly minions: readonly PlaceableMinion[]}>
		| At<{
			readonly type: 'jobs/slotsHeld';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly amount: number;
		}>
		| At<{readonly type: 'jobs/limitHeld'; readonly team: TeamId; readonly amount: number}>
		| At<{readonly type: 'jobs/runningElsewhere'; readonly running: readonly RunningElsewhere[]}>
		| At<JobAttempt & {readonly type: 'jobs/firstByteSent'}>
		| At<JobAttempt & {readonly type: 'jobs/answerStarted'; readonly status: number}>
		/** The answer has arrived completely. The minion's slot is free. */
		| At<JobAttempt & {readonly type: 'jobs/answered'; readonly status: number}>
		| At<JobAttempt & {
			readonly type: 'jobs/attemptFailed';
			/** Whether any byte of the request may have reached the minion. */
			readonly bytesSent: boolean;
			readonly kind: AttemptFailureKind;
		}>
		| At<{readonly type: 'jobs/cancelRequested'; readonly job: JobId}>
		/** The minion reports that it no longer holds any part of the attempt. */
		| At<JobAttempt & {readonly type: 'jobs/slotFreed'}>
		/** The leases of all tasks of this incarnation have expired. Its slots are free. */
		| At<{
			readonly type: 'jobs/leaseEnded';
			readonly minion: MinionId;
			readonly incarnation: number;
		}>
		| At<{readonly type: 'jobs/usageReported'; readonly usages: readonly TaskUsage[]}>
		| At<{readonly type: 'jobs/tick'}>
		| At<{readonly type: 'jobs/stopping'}>;

/** A decision about a job or a worker, with its reason, for the log. */
export type JobsDecision
	= | {
		readonly kind: 'placed';
		readonly job: JobId;
		readonly team: TeamId;
		readonly queue: QueueId;
		readonly pool: PoolId;
		readonly worker: WorkerId;
		readonly minion: MinionId;
		readonly attempt: number;
		readonly reason: 'urgentWithinDue' | 'leastShareUsed';
		/** Number of minions that were compared. */
		readonly alternativesCounted: number;
		/** Number of minions that were ready for a job. */
		readonly candidatesCounted: number;
	}
	| {
		readonly kind: 'refused';
		readonly job: JobId;
		readonly team: TeamId;
		readonly queue: QueueId;
		readonly pool: PoolId;
		readonly reason: RefusalReason;
		readonly ran: Ran;
		readonly retryAfterMs?: number;
	}
	| {
		readonly kind: 'retried';
		readonly job: JobId;
		readonly team: TeamId;
		readonly queue: QueueId;
		readonly pool: PoolId;
		readonly minion: MinionId;
		readonly attempt: number;
		readonly reason: AttemptFailureKind;
		readonly delayMs: number;
	}
	| {
		readonly kind: 'workerEjected' | 'workerProbed' | 'workerRestored';
		readonly worker: WorkerId;
		readonly failuresCounted: number;
		/** The time until which the worker gets no jobs; absent once it is restored. */
		readonly untilMs?: number;
	};

/** The waiting and running jobs of a team in a pool, for lending and for reports. */
export type TeamDemand = {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly waiting: number;
	readonly running: number;
};

/** An effect that the shell and the other modules have to carry out. */
export type JobsEffect
	/** Ask the owner of the idempotency key. The answer is the event `jobs/claimAnswered`. */
	= | {readonly type: 'jobs/claim'; readonly spec: JobSpec}
		/** Write a start record to a second host or to disk. The result is the event `jobs/startRecorded`. */
		| (JobAttempt & {readonly type: 'jobs/recordStart'; readonly spec: JobSpec; readonly minion: MinionId})
		/** Send the job to the minion. From now on a byte may have been sent. */
		| (JobAttempt & {
			readonly type: 'jobs/dispatch';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly deadlineAtMs: MonotonicMs;
		})
		/** Cancel the attempt and stop its task. The slot stays in use until `jobs/slotFreed`. */
		| (JobAttempt & {readonly type: 'jobs/cancelAttempt'; readonly minion: MinionId})
		/** Report the outcome of a job. It is emitted once per job. */
		| {readonly type: 'jobs/finish'; readonly spec: JobSpec; readonly outcome: JobOutcome}
		| {readonly type: 'jobs/decision'; readonly decision: JobsDecision}
		| {readonly type: 'jobs/demandChanged'; readonly demands: readonly TeamDemand[]}
		/** Number of slots of the minion that this node uses, for lending. */
		| {
			readonly type: 'jobs/slotUseChanged';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly inUse: number;
		}
		/** Amount of a limited team's limit that this node uses, for lending. */
		| {readonly type: 'jobs/limitUseChanged'; readonly team: TeamId; readonly inUse: number};

/** Configuration of the jobs reducer. Times are in milliseconds. */
export type JobsCfg = {
	/** Random source for sampling minions and for retry jitter. */
	readonly random: RandomSource;
	/**
	 * Maximum time that the owner of a key may take to answer a claim, and that writing a start record
	 * may take.
	 */
	readonly claimTimeoutMs: number;
	/** Maximum number of waiting jobs of one team in one pool on this node. */
	readonly maximumWaitingJobs: number;
	/** Maximum number of attempts of one job. */
	readonly maximumAttempts: number;
	/** Number of minions that are compared for one placement. */
	readonly placementChoices: number;
	/** Retry tokens that each first attempt of a queue adds to its retry budget. */
	readonly retryRatio: number;
	/** Maximum number of retry tokens that a queue can accumulate. */
	readonly maximumRetryTokens: number;
	/** Upper bound of the delay before the first retry. The bound doubles with each further retry. */
	readonly retryBaseDelayMs: number;
	/** When a failing worker is ejected, and for how long. */
	readonly health: WorkerHealthCfg;
};
