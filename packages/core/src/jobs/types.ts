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
	TeamId,
	WorkerId,
} from '@samphiremill/common';

/** What a job declares it needs. */
export type DeclaredSize = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly runTimeMs: number;
};

/** A job as a caller submitted it. The body stays with the shell under the job's id. */
export type JobSpec = {
	readonly job: JobId;
	readonly queue: QueueId;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly idempotencyKey?: IdempotencyKey;
	/** SHA-256 of the body in hexadecimal, compared when a key comes again. */
	readonly bodyHash: string;
	/** An idempotent job may be dispatched again after an attempt was lost. */
	readonly isIdempotent: boolean;
	readonly urgency: 'urgent' | 'ordinary';
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
	readonly connections: number;
	readonly isAcceptingWork: boolean;
};
