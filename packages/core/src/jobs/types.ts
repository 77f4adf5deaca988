/**
 * A job's life in one entry host, from submission to one truthful outcome.
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

/** What a job declares it needs. */
export type DeclaredSize = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly runTimeMs: number;
};

/** Whether a job is placed ahead within its team's due. */
export type Urgency = 'urgent' | 'ordinary';

/** A job as a caller submitted it. The body stays with the shell under the job's id. */
export type JobSpec = {
	readonly job: JobId;
	readonly queue: QueueId;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly idempotencyKey?: IdempotencyKey;
	/** The caller states that it never sent this key before. */
	readonly isFirstSend?: boolean;
	/** SHA-256 of the body in hexadecimal, compared when a key comes again. */
	readonly bodyHash: string;
	/** An idempotent job may be dispatched again after an attempt was lost. */
	readonly isIdempotent: boolean;
	readonly urgency: Urgency;
	readonly declared?: DeclaredSize;
	readonly submittedAtMs: MonotonicMs;
	readonly deadlineAtMs: MonotonicMs;
};

/** Why a job was refused. Each reason fixes what may be said of whether it ran. */
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

/** What is known of whether the work was run. */
export type Ran = 'no' | 'maybe' | 'yes';

/** Every way a job can end. */
export type JobOutcome
	= | {readonly type: 'answered'; readonly minion: MinionId; readonly status: number}
		| {
			readonly type: 'refused';
			readonly reason: RefusalReason;
			readonly ran: Ran;
			/** When to come back; absent where coming back does not help. */
			readonly retryAfterMs?: number;
		};

/** Where a minion stands for placement. */
export type PlaceableMinion = {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly rack: string;
	readonly cores: number;
	readonly memoryMb: number;
	/** Slots that this node may use at this moment. */
	readonly heldSlots: number;
	/** Connections that this node may have open to the minion. */
	readonly connections: number;
	readonly isAcceptingWork: boolean;
};

/** A queue as far as decisions need it. */
export type QueuePolicy = {
	readonly queue: QueueId;
	readonly pool: PoolId;
};

/** A team as far as decisions need it. */
export type TeamPolicy = {
	readonly team: TeamId;
	readonly weight: number;
	/** A limited team runs here only as much as `jobs/limitHeld` has granted; none before that. */
	readonly isLimited: boolean;
};

/** The committed records that decisions depend on. */
export type JobsPolicy = {
	readonly queues: readonly QueuePolicy[];
	readonly teams: readonly TeamPolicy[];
};

/** What the owner of an idempotency key says. */
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
		/** The minion said that it has no room; nothing of the job is left there. */
		| 'busy'
		/** The platform or the minion stopped the task and said so. */
		| 'stopped';

/** What a finished task really used, as reported with a lag. */
export type TaskUsage = {
	readonly queue: QueueId;
	readonly team: TeamId;
	readonly cores: number;
	readonly memoryMb: number;
	readonly runTimeMs: number;
};

/** What one team has running in a pool at the other entry hosts of the data centre. */
export type RunningElsewhere = {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly running: number;
};

/** One attempt of one job. */
export type JobAttempt = {
	readonly job: JobId;
	/** Counts the attempts of the job at this node, from 1. */
	readonly attempt: number;
};

type At<Event> = Event & {readonly nowMs: MonotonicMs};

/** Everything that can happen to jobs. */
export type JobsEvent
	= | At<{readonly type: 'jobs/submitted'; readonly spec: JobSpec}>
		| At<{readonly type: 'jobs/claimAnswered'; readonly job: JobId; readonly answer: ClaimAnswer}>
		/** The start record is on a second host or synced to disk, or could not be written. */
		| At<JobAttempt & {readonly type: 'jobs/startRecorded'; readonly ok: boolean}>
		| At<{readonly type: 'jobs/policyChanged'; readonly policy: JobsPolicy}>
		/** The whole list of minions known to this node. */
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
		/** The answer has arrived whole; the minion's slot is free. */
		| At<JobAttempt & {readonly type: 'jobs/answered'; readonly status: number}>
		| At<JobAttempt & {
			readonly type: 'jobs/attemptFailed';
			/** Whether any byte of the request may have reached the minion. */
			readonly bytesSent: boolean;
			readonly kind: AttemptFailureKind;
		}>
		| At<{readonly type: 'jobs/cancelRequested'; readonly job: JobId}>
		/** The minion says that nothing of the attempt is left on it. */
		| At<JobAttempt & {readonly type: 'jobs/slotFreed'}>
		/** The leases of all tasks of this incarnation have run out; its slots are free. */
		| At<{
			readonly type: 'jobs/leaseEnded';
			readonly minion: MinionId;
			readonly incarnation: number;
		}>
		| At<{readonly type: 'jobs/usageReported'; readonly usages: readonly TaskUsage[]}>
		| At<{readonly type: 'jobs/tick'}>
		| At<{readonly type: 'jobs/stopping'}>;

/** What was decided about a job or a worker, and why, for the log. */
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
		/** How many minions were compared. */
		readonly alternativesCounted: number;
		/** How many minions could have been compared. */
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
		/** Until when the worker gets no work; absent once it is restored. */
		readonly untilMs?: number;
	};

/** How much work of a team waits and runs in a pool, for lending and for reports. */
export type TeamDemand = {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly waiting: number;
	readonly running: number;
};

/** What the shell and the other parts are asked to do. */
export type JobsEffect
	/** Ask the owner of the idempotency key; it answers with `jobs/claimAnswered`. */
	= | {readonly type: 'jobs/claim'; readonly spec: JobSpec}
		/** Put a start record on a second host or the disk; it answers with `jobs/startRecorded`. */
		| (JobAttempt & {readonly type: 'jobs/recordStart'; readonly spec: JobSpec; readonly minion: MinionId})
		/** Send the job to the minion. From here on a byte may have been sent. */
		| (JobAttempt & {
			readonly type: 'jobs/dispatch';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly deadlineAtMs: MonotonicMs;
		})
		/** Give the attempt up and stop its task; the slot stays taken until `jobs/slotFreed`. */
		| (JobAttempt & {readonly type: 'jobs/cancelAttempt'; readonly minion: MinionId})
		/** The one outcome of a job. */
		| {readonly type: 'jobs/finish'; readonly spec: JobSpec; readonly outcome: JobOutcome}
		| {readonly type: 'jobs/decision'; readonly decision: JobsDecision}
		| {readonly type: 'jobs/demandChanged'; readonly demands: readonly TeamDemand[]}
		/** How many slots of the minion this node has in use, for lending. */
		| {
			readonly type: 'jobs/slotUseChanged';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly inUse: number;
		}
		/** How much of a limited team's limit this node has in use, for lending. */
		| {readonly type: 'jobs/limitUseChanged'; readonly team: TeamId; readonly inUse: number};

/** Bounds and chance of the decisions. Times are in milliseconds. */
export type JobsCfg = {
	/** Chance for sampling minions and for jitter. */
	readonly random: RandomSource;
	/** How long the owner of a key may take to answer. */
	readonly claimTimeoutMs: number;
	/** The most jobs that one team may have waiting in one pool at this node. */
	readonly maximumWaitingJobs: number;
	/** The most attempts of one job. */
	readonly maximumAttempts: number;
	/** How many minions are compared for one placement. */
	readonly placementChoices: number;
	/** Retries allowed for each first attempt of a queue. */
	readonly retryRatio: number;
	/** The most retries that a queue may have saved up. */
	readonly maximumRetryTokens: number;
	/** The first retry waits up to this long; each further one up to twice as long. */
	readonly retryBaseDelayMs: number;
	/** When a worker that fails is taken out, and for how long. */
	readonly health: WorkerHealthCfg;
};
