/**
 * State of the jobs of one entry host, and of the resources that limit them.
 */
import {Map as ImmutableMap, type Set as ImmutableSet} from 'immutable';
import type {
	JobId, MinionId, PoolId, QueueId, TeamId, WorkerId,
} from '@samphiremill/common';
import {createSortedSet, type SortedSet} from '../collections/sorted-set.js';
import type {Step} from '../step.js';
import type {QuantileSketch, WorkerHealth} from '../placement/index.js';
import {
	createShareWindow, type ShareWindow, type TeamOrder, type TeamRank,
} from '../shares/index.js';
import {shareWindowMs} from './constants.js';
import type {JobQueue, Ticket} from './job-queue.js';
import type {RetryBudget} from './retry-budget.js';
import type {
	JobAttempt, JobsCfg, JobsEffect, JobSpec, PlaceableMinion, Urgency,
} from './types.js';

/** Fields of a job that persist across its attempts. */
export type JobHistory = {
	readonly spec: JobSpec;
	/** Number of the latest attempt; 0 before the first one. */
	readonly attempt: number;
	/** Whether a byte of any attempt may have reached a minion. */
	readonly mayHaveRun: boolean;
	readonly failedWorkers: readonly WorkerId[];
	/** When the next timed action of the job is due, in milliseconds. */
	readonly dueAtMs: number;
	/**
	 * When the timer of the job fires, in milliseconds. It is never later than `dueAtMs`; a timer that
	 * fires early is set again.
	 */
	readonly timerAtMs: number;
};

/** Where an attempt was placed. */
export type Placement = {
	readonly minion: MinionId;
	readonly worker: WorkerId;
	readonly incarnation: number;
};

/** The state of an unfinished job. */
export type JobState = JobHistory & (
	/** Waits for the answer of the owner of the idempotency key. */
	| {readonly type: 'claiming'}
	| {readonly type: 'queued'; readonly ticket: Ticket}
	/** Waits after a failed attempt before it is queued again. */
	| {readonly type: 'backingOff'}
	/** Slot and limit are reserved and the start record is being written. No byte was sent. */
	| (Placement & {readonly type: 'reserved'})
	/** Handed to the shell. A byte may be sent at any moment. */
	| (Placement & {readonly type: 'dispatched'})
	| (Placement & {readonly type: 'byteSent'})
	/** The minion's answer has started to arrive. */
	| (Placement & {readonly type: 'answering'; readonly status: number})
);

/** The resources that an attempt holds until the minion reports its end or its lease expires. */
export type Reservation = JobAttempt & {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly rack: string;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly queue: QueueId;
	/** The job's use of the pool's scarcest resource, in slots; at least 1. */
	readonly shareSlots: number;
	readonly urgency: Urgency;
	readonly cores: number;
	readonly memoryMb: number;
	readonly reservedAtMs: number;
	readonly isDispatched: boolean;
	readonly hasConnection: boolean;
};

/** A minion and the resources that this node uses on it. */
export type MinionState = {
	readonly info: PlaceableMinion;
	readonly usedSlots: number;
	readonly usedConnections: number;
	readonly usedCores: number;
	readonly usedMemoryMb: number;
	readonly isReady: boolean;
};

/** Jobs and resource use of one team in one pool. */
export type PoolTeam = {
	readonly urgent: JobQueue;
	readonly ordinary: JobQueue;
	/** Number of jobs that hold a slot. */
	readonly running: number;
	/** Number of these jobs that were dispatched. */
	readonly dispatched: number;
	/** Share slots that the running jobs hold. */
	readonly usedSlots: number;
	/** Part of `usedSlots` that urgent jobs hold. */
	readonly urgentUsedSlots: number;
	/** Number of jobs of the team that run on other entry hosts. */
	readonly runningElsewhere: number;
	/** Served slot-milliseconds, divided by the weight. */
	readonly servedPerWeight: number;
	readonly runningByRack: ImmutableMap<string, number>;
	readonly refusedCount: number;
	/** Whether the demand has changed since it was last reported. */
	readonly isDemandChanged: boolean;
	/** Rank in the team order; absent while the team is not in it. */
	readonly rank?: TeamRank | undefined;
};

/** One pool on this node. */
export type PoolState = {
	/** Minions that can take one more job. */
	readonly ready: SortedSet<MinionId>;
	readonly order: TeamOrder;
	readonly teams: ImmutableMap<TeamId, PoolTeam>;
	/** Slots that this node holds. */
	readonly heldSlots: number;
	readonly cores: number;
	readonly memoryMb: number;
	/** Distinct sizes of the workers of the pool. */
	readonly workerSizes: ReadonlyArray<{readonly cores: number; readonly memoryMb: number}>;
	/**
	 * `servedPerWeight` of the team that was served last. A team that becomes active again starts at
	 * least here.
	 */
	readonly servedFloor: number;
};

/** One team on this node. */
export type TeamState = {
	readonly weight: number;
	readonly isLimited: boolean;
	readonly heldLimit: number;
	readonly running: number;
	/** Pools in which the team has had jobs. */
	readonly pools: ImmutableSet<PoolId>;
};

/** Learned resource use and run times of the jobs of one queue and team. */
export type RunProfile = {
	readonly runTimeMs: QuantileSketch;
	readonly cores: QuantileSketch;
	readonly memoryMb: QuantileSketch;
};

/** A timer of a job. */
export type JobTimer = {
	readonly atMs: number;
	readonly job: JobId;
};

/** State of the jobs reducer. */
export type JobsState = {
	readonly jobs: ImmutableMap<JobId, JobState>;
	readonly reservations: ImmutableMap<string, Reservation>;
	readonly pools: ImmutableMap<PoolId, PoolState>;
	readonly teams: ImmutableMap<TeamId, TeamState>;
	readonly minions: ImmutableMap<MinionId, MinionState>;
	/** Health of workers with recorded failures. All other workers are healthy. */
	readonly workers: ImmutableMap<WorkerId, WorkerHealth>;
	readonly retryBudgets: ImmutableMap<QueueId, RetryBudget>;
	readonly runProfiles: ImmutableMap<string, RunProfile>;
	readonly timers: SortedSet<JobTimer>;
	/** Samples for the shares report. */
	readonly shareWindow: ShareWindow;
	readonly isStopping: boolean;
};

/** Inputs of a decision besides the state: the time in milliseconds and the configuration. */
export type Context = {
	readonly nowMs: number;
	readonly cfg: JobsCfg;
};

/** The next state of the jobs and the effects to carry out. */
export type JobsStep = Step<JobsState, JobsEffect>;

function compareTimers(left: JobTimer, right: JobTimer): number {
	return left.atMs - right.atMs || (left.job < right.job ? -1 : Number(left.job > right.job));
}

/** Creates the empty state of an entry host. */
export function createJobsState(): JobsState {
	return {
		jobs: ImmutableMap(),
		reservations: ImmutableMap(),
		pools: ImmutableMap(),
		teams: ImmutableMap(),
		minions: ImmutableMap(),
		workers: ImmutableMap(),
		retryBudgets: ImmutableMap(),
		runProfiles: ImmutableMap(),
		timers: createSortedSet(compareTimers),
		shareWindow: createShareWindow(shareWindowMs),
		isStopping: false,
	};
}
