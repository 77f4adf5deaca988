/**
 * What one entry host knows of its jobs, and of all that bounds them.
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

/** What outlives an attempt of a job. */
export type JobHistory = {
	readonly spec: JobSpec;
	/** The number of the newest attempt, 0 before the first. */
	readonly attempt: number;
	/** Whether a byte of any attempt may have reached a minion. */
	readonly mayHaveRun: boolean;
	readonly failedWorkers: readonly WorkerId[];
	/** When something has to happen to the job, in milliseconds. */
	readonly dueAtMs: number;
	/** When its timer goes off, never after `dueAtMs`; an early one is set anew. */
	readonly timerAtMs: number;
};

/** The attempt that a job is in, and where. */
export type Placement = {
	readonly minion: MinionId;
	readonly worker: WorkerId;
	readonly incarnation: number;
};

/** Every state of a job before its outcome. */
export type JobState = JobHistory & (
	/** The owner of the idempotency key has been asked. */
	| {readonly type: 'claiming'}
	| {readonly type: 'queued'; readonly ticket: Ticket}
	/** Waits before it is queued again after a failed attempt. */
	| {readonly type: 'backingOff'}
	/** Slot and limit are reserved, the start record is being written, no byte was sent. */
	| (Placement & {readonly type: 'reserved'})
	/** Given to the shell: a byte may be on its way at any moment. */
	| (Placement & {readonly type: 'dispatched'})
	| (Placement & {readonly type: 'byteSent'})
	/** The minion's answer has begun to arrive. */
	| (Placement & {readonly type: 'answering'; readonly status: number})
);

/** What an attempt takes until the minion says that it is gone or its lease has ended. */
export type Reservation = JobAttempt & {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly rack: string;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly queue: QueueId;
	/** Of the pool's scarcest resource, in slots; at least 1. */
	readonly shareSlots: number;
	readonly urgency: Urgency;
	readonly cores: number;
	readonly memoryMb: number;
	readonly reservedAtMs: number;
	readonly isDispatched: boolean;
	readonly hasConnection: boolean;
};

/** A minion and what this node has on it. */
export type MinionState = {
	readonly info: PlaceableMinion;
	readonly usedSlots: number;
	readonly usedConnections: number;
	readonly usedCores: number;
	readonly usedMemoryMb: number;
	readonly isReady: boolean;
};

/** One team's work in one pool. */
export type PoolTeam = {
	readonly urgent: JobQueue;
	readonly ordinary: JobQueue;
	/** Jobs that hold a slot. */
	readonly running: number;
	/** Of these, the ones that were dispatched. */
	readonly dispatched: number;
	/** What the running jobs take, in slots. */
	readonly usedSlots: number;
	/** Of these, what the urgent jobs take. */
	readonly urgentUsedSlots: number;
	/** What the team has running at other entry hosts. */
	readonly runningElsewhere: number;
	/** Slot-milliseconds served, divided by the weight. */
	readonly servedPerWeight: number;
	readonly runningByRack: ImmutableMap<string, number>;
	readonly refusedCount: number;
	/** Whether the demand has changed since it was last made known. */
	readonly isDemandChanged: boolean;
	/** The team's place in the order, while it is in it. */
	readonly rank?: TeamRank | undefined;
};

/** One pool at this node. */
export type PoolState = {
	/** Minions that can take one more job. */
	readonly ready: SortedSet<MinionId>;
	readonly order: TeamOrder;
	readonly teams: ImmutableMap<TeamId, PoolTeam>;
	/** Slots that this node holds. */
	readonly heldSlots: number;
	readonly cores: number;
	readonly memoryMb: number;
	/** The distinct sizes of the pool's workers. */
	readonly workerSizes: ReadonlyArray<{readonly cores: number; readonly memoryMb: number}>;
	/** What the team served last had been served; a team that starts anew begins here. */
	readonly servedFloor: number;
};

/** One team at this node. */
export type TeamState = {
	readonly weight: number;
	readonly isLimited: boolean;
	readonly heldLimit: number;
	readonly running: number;
	/** The pools in which the team has had work. */
	readonly pools: ImmutableSet<PoolId>;
};

/** What jobs of one queue and team really take. */
export type RunProfile = {
	readonly runTimeMs: QuantileSketch;
	readonly cores: QuantileSketch;
	readonly memoryMb: QuantileSketch;
};

/** A job's timer. */
export type JobTimer = {
	readonly atMs: number;
	readonly job: JobId;
};

/** Everything that decisions are made from. */
export type JobsState = {
	readonly jobs: ImmutableMap<JobId, JobState>;
	readonly reservations: ImmutableMap<string, Reservation>;
	readonly pools: ImmutableMap<PoolId, PoolState>;
	readonly teams: ImmutableMap<TeamId, TeamState>;
	readonly minions: ImmutableMap<MinionId, MinionState>;
	/** Workers about which something bad is known; all others are healthy. */
	readonly workers: ImmutableMap<WorkerId, WorkerHealth>;
	readonly retryBudgets: ImmutableMap<QueueId, RetryBudget>;
	readonly runProfiles: ImmutableMap<string, RunProfile>;
	readonly timers: SortedSet<JobTimer>;
	/** What teams were due and had, for the shares report. */
	readonly shareWindow: ShareWindow;
	readonly isStopping: boolean;
};

/** What a decision is made with besides the state: the time in milliseconds, bounds and chance. */
export type Context = {
	readonly nowMs: number;
	readonly cfg: JobsCfg;
};

/** The next state of the jobs, and what is to be done. */
export type JobsStep = Step<JobsState, JobsEffect>;

function compareTimers(left: JobTimer, right: JobTimer): number {
	return left.atMs - right.atMs || (left.job < right.job ? -1 : Number(left.job > right.job));
}

/** @returns The state of an entry host that knows nothing yet. */
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
