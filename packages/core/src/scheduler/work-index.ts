/**
 * Indexes over the ledger for planning and admission. Every change of the ledger updates them, so that the cost of a
 * decision depends on what it concerns and not on the size of the ledger.
 */
import type {JobId, PoolId, TeamId} from '@samphiremill/common';
import {maximumScheduledTasks} from './constants.js';
import {isOccurrenceDone} from './done-occurrences.js';
import {getDueAtMs, getOccurrenceWork} from './estimates.js';
import {
	countOccurrenceTasks, getOccurrenceCount, getOrCreateOccurrence, isStepDone,
} from './occurrences.js';
import type {
	Job, Occurrence, PoolWorkload, StepProgress, StepSpecification, Task, TaskId,
} from './types.js';

type MutableWorkload = {-readonly [Key in keyof PoolWorkload]: PoolWorkload[Key]};

/** A step of an occurrence that is due, of an active job. */
export type OpenStep = {
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	readonly specification: StepSpecification;
	readonly progress: StepProgress;
	/** The work of the whole occurrence, in millicore milliseconds. */
	readonly work: number;
	/** When the occurrence was due to start, as Unix time in milliseconds. */
	readonly dueMs: number;
	/** Whether the step has tasks that may start now. */
	isReady: boolean;
	/** The step's part of its pool's workload. */
	countedWorkload: PoolWorkload;
	/** Shared by all steps of the occurrence. */
	readonly occurrenceProgress: OccurrenceProgress;
};

/** The progress of an occurrence. */
export type OccurrenceProgress = {
	/** How many of its steps are done. Cached estimates of its remaining duration are valid while this is unchanged. */
	doneSteps: number;
};

/** A job of which no task has started. */
export type UnstartedJob = {
	/** The work of one occurrence, in millicore milliseconds. */
	readonly work: number;
	workLeft: number;
};

/** The indexes of one pool. */
export type PoolIndex = {
	readonly workload: PoolWorkload;
	/** Steps with tasks that may start, unordered. */
	readonly ready: ReadonlySet<OpenStep>;
	readonly unstartedJobs: ReadonlyMap<Job, UnstartedJob>;
	/** Incremented by each change that may allow a task of the pool to start. */
	readonly changeCount: number;
};

type MutablePoolIndex = {
	readonly workload: MutableWorkload;
	readonly ready: Set<OpenStep>;
	readonly unstartedJobs: Map<Job, UnstartedJob>;
	changeCount: number;
};

/** The indexes of a ledger. Only the functions of this module change them. */
export type WorkIndex = {
	readonly pools: Map<PoolId, MutablePoolIndex>;
	readonly steps: Map<StepProgress, OpenStep>;
	/** The number of the first occurrence of each scheduled job that is not open yet. */
	readonly nextDue: Map<Job, number>;
	/** How many tasks the open occurrences of schedules have. */
	readonly scheduledTasks: {count: number};
	/** How many ready steps each team has, by pool. */
	readonly readyByTeam: Map<TeamId, Map<PoolId, number>>;
	/** Jobs that have ended and still have runs. */
	readonly endedWithRuns: Set<JobId>;
	/** Tasks that are done and still have runs. */
	readonly doneWithRuns: Set<TaskId>;
	/** Tasks of active jobs whose latest runs were lost with their minions. */
	readonly tasksWithLosses: Set<TaskId>;
};

// The progress of a running task is not known here, so half of its work is assumed to remain.
const remainingShareOfRunning = 0.5;

/** The workload of an idle pool. */
export const emptyWorkload: PoolWorkload = {
	longRunningMillicores: 0, waitingLongRunningCount: 0, runningMillicores: 0, readyMillicores: 0, workLeft: 0,
};

/** Creates the indexes of an empty ledger. */
export function createWorkIndex(): WorkIndex {
	return {
		pools: new Map(),
		steps: new Map(),
		nextDue: new Map(),
		scheduledTasks: {count: 0},
		readyByTeam: new Map(),
		endedWithRuns: new Set(),
		doneWithRuns: new Set(),
		tasksWithLosses: new Set(),
	};
}

const getMutablePool = (index: WorkIndex, pool: PoolId): MutablePoolIndex => {
	const known = index.pools.get(pool);
	if (known !== undefined) {
		return known;
	}

	const created: MutablePoolIndex = {
		workload: {...emptyWorkload}, ready: new Set(), unstartedJobs: new Map(), changeCount: 0,
	};
	index.pools.set(pool, created);
	return created;
};

const measureStepWorkload = ({count, request: {cpuMillicores}, estimateMs, isFiller, isLasting}: StepSpecification, {doneCount, idleCount}: StepProgress, isReady: boolean): PoolWorkload => {
	if (isFiller) {
		return emptyWorkload;
	}

	if (isLasting) {
		return {...emptyWorkload, longRunningMillicores: cpuMillicores * count, waitingLongRunningCount: idleCount};
	}

	const running = count - doneCount - idleCount;
	return {
		longRunningMillicores: 0,
		waitingLongRunningCount: 0,
		runningMillicores: running * cpuMillicores,
		readyMillicores: isReady ? idleCount * cpuMillicores : 0,
		workLeft: (idleCount + (running * remainingShareOfRunning)) * cpuMillicores * estimateMs,
	};
};

const addWorkload = (total: MutableWorkload, part: PoolWorkload, factor: 1 | -1) => {
	total.longRunningMillicores += part.longRunningMillicores * factor;
	total.waitingLongRunningCount += part.waitingLongRunningCount * factor;
	total.runningMillicores += part.runningMillicores * factor;
	total.readyMillicores += part.readyMillicores * factor;
	total.workLeft += part.workLeft * factor;
};

const updateReadyCountOfTeam = ({readyByTeam}: WorkIndex, {team, pool}: Job, change: 1 | -1) => {
	if (team === undefined) {
		return;
	}

	const byPool = readyByTeam.get(team) ?? new Map<PoolId, number>();
	readyByTeam.set(team, byPool);
	const count = (byPool.get(pool) ?? 0) + change;
	if (count === 0) {
		byPool.delete(pool);
	} else {
		byPool.set(pool, count);
	}
};

const setReady = (index: WorkIndex, pool: MutablePoolIndex, open: OpenStep, isReady: boolean) => {
	if (open.isReady === isReady) {
		return;
	}

	open.isReady = isReady;
	updateReadyCountOfTeam(index, open.job, isReady ? 1 : -1);
	if (isReady) {
		pool.ready.add(open);
	} else {
		pool.ready.delete(open);
	}
};

const setCountedWorkload = (pool: MutablePoolIndex, open: OpenStep, workload: PoolWorkload) => {
	addWorkload(pool.workload, open.countedWorkload, -1);
	addWorkload(pool.workload, workload, 1);
	const unstartedJob = pool.unstartedJobs.get(open.job);
	if (unstartedJob !== undefined) {
		unstartedJob.workLeft += workload.workLeft - open.countedWorkload.workLeft;
	}

	open.countedWorkload = workload;
};

const refreshStep = (index: WorkIndex, open: OpenStep, steps: readonly StepProgress[]) => {
	const pool = getMutablePool(index, open.job.pool);
	const {specification, progress} = open;
	const wasReady = open.isReady;
	const isReady = progress.idleCount > 0 && specification.dependsOn.every(earlier => {
		const before = steps[earlier];
		return before !== undefined && isStepDone(before);
	});
	setReady(index, pool, open, isReady);
	setCountedWorkload(pool, open, measureStepWorkload(specification, progress, isReady));
	if (isReady && !wasReady) {
		pool.changeCount += 1;
	}
};

const openOccurrence = (index: WorkIndex, job: Job, occurrence: number) => {
	const steps = getOrCreateOccurrence(job, occurrence)?.steps ?? [];
	const occurrenceProgress: OccurrenceProgress = {doneSteps: 0};
	const work = getOccurrenceWork(job.specification);
	const dueMs = getDueAtMs(job, occurrence);
	for (const [step, progress] of steps.entries()) {
		const specification = job.specification.steps[step];
		if (specification !== undefined) {
			const open: OpenStep = {
				job, occurrence, step, specification, progress, work, dueMs, isReady: false, countedWorkload: emptyWorkload, occurrenceProgress,
			};
			index.steps.set(progress, open);
			refreshStep(index, open, steps);
		}
	}
};

/** Adds an active job and its occurrences. Occurrences of a schedule are opened by `openDueOccurrences`. */
export function indexJob(index: WorkIndex, job: Job): void {
	if (!job.hasStarted) {
		getMutablePool(index, job.pool).unstartedJobs.set(job, {work: getOccurrenceWork(job.specification), workLeft: 0});
	}

	if (job.specification.schedule === undefined) {
		openOccurrence(index, job, 0);
	} else {
		index.nextDue.set(job, 0);
	}
}

// Returns the number of the next occurrence of a job that is not done.
const skipDone = ({doneOccurrences}: Job, from: number): number => {
	let next = from;
	while (isOccurrenceDone(doneOccurrences, next)) {
		next += 1;
	}

	return next;
};

// Returns whether an occurrence was opened. One that has been so already, as by an earlier leader, takes no further memory.
const openNextOccurrence = (index: WorkIndex, job: Job, nowMs: number): boolean => {
	const next = skipDone(job, index.nextDue.get(job) ?? 0);
	if (next >= getOccurrenceCount(job.specification)) {
		index.nextDue.delete(job);
		return false;
	}

	index.nextDue.set(job, next);
	const taskCount = countOccurrenceTasks(job.specification);
	const hasRoom = index.scheduledTasks.count === 0 || index.scheduledTasks.count + taskCount <= maximumScheduledTasks;
	if (getDueAtMs(job, next) > nowMs || !hasRoom) {
		return false;
	}

	openOccurrence(index, job, next);
	index.scheduledTasks.count += taskCount;
	index.nextDue.set(job, next + 1);
	return true;
};

/**
 * Opens the scheduled occurrences that have become due. If too many tasks of schedules wait already, the next occurrences stay
 * closed until others are done; the jobs take turns.
 *
 * @param nowMs - The current Unix time in milliseconds.
 */
export function openDueOccurrences(index: WorkIndex, nowMs: number): void {
	let candidates = [...index.nextDue.keys()];
	while (candidates.length > 0) {
		candidates = candidates.filter(job => openNextOccurrence(index, job, nowMs));
	}
}

const removeStep = (index: WorkIndex, progress: StepProgress): boolean => {
	const open = index.steps.get(progress);
	if (open === undefined) {
		return false;
	}

	const pool = getMutablePool(index, open.job.pool);
	setReady(index, pool, open, false);
	setCountedWorkload(pool, open, emptyWorkload);
	return index.steps.delete(progress);
};

/** Removes an occurrence of a scheduled job that holds its tasks no longer. */
export function closeOccurrence(index: WorkIndex, job: Job, {steps}: Occurrence): void {
	const wasOpen = steps.map(progress => removeStep(index, progress)).includes(true);
	if (wasOpen) {
		index.scheduledTasks.count -= countOccurrenceTasks(job.specification);
	}
}

/** Removes a job that has ended. Its occurrences must not have been dropped yet. */
export function unindexJob(index: WorkIndex, job: Job): void {
	const pool = getMutablePool(index, job.pool);
	for (const id of index.tasksWithLosses) {
		if (id.startsWith(`${job.id}.`)) {
			index.tasksWithLosses.delete(id);
		}
	}

	for (const occurrence of job.occurrences.values()) {
		if (job.specification.schedule === undefined) {
			occurrence.steps.map(progress => removeStep(index, progress));
		} else {
			closeOccurrence(index, job, occurrence);
		}
	}

	pool.unstartedJobs.delete(job);
	index.nextDue.delete(job);
	if (job.runCount > 0) {
		index.endedWithRuns.add(job.id);
	}
}

/** Records that an ended job has no runs left. */
export function recordJobReleased(index: WorkIndex, job: Job): void {
	index.endedWithRuns.delete(job.id);
}

/** Records that a task of a job has started. */
export function recordJobStarted(index: WorkIndex, job: Job): void {
	getMutablePool(index, job.pool).unstartedJobs.delete(job);
}

/**
 * Records that a task, and with it the counts of its step, has changed.
 *
 * @param change - The task before and after the change, and the steps of its occurrence.
 */
export function recordTaskChanged(index: WorkIndex, {before, after, steps}: {
	readonly before: Task;
	readonly after: Task;
	readonly steps: readonly StepProgress[];
}): void {
	if (after.isDone && after.runs.length > 0) {
		index.doneWithRuns.add(after.id);
	} else {
		index.doneWithRuns.delete(after.id);
	}

	if (after.losses.length > 0 && !after.isDone && after.job.status === 'active') {
		index.tasksWithLosses.add(after.id);
	} else if (before.losses.length > 0) {
		index.tasksWithLosses.delete(after.id);
	}

	const progress = steps[after.step];
	const open = progress && index.steps.get(progress);
	if (open === undefined) {
		return;
	}

	refreshStep(index, open, steps);
	if (after.isDone === before.isDone || !isStepDone(open.progress)) {
		return;
	}

	open.occurrenceProgress.doneSteps += 1;
	for (const other of steps) {
		const dependent = index.steps.get(other);
		if (dependent?.specification.dependsOn.includes(after.step)) {
			refreshStep(index, dependent, steps);
		}
	}
}

/** Records that a pool has more free capacity, or that more of its tasks may start. */
export function recordPoolChanged(index: WorkIndex, pool: PoolId): void {
	getMutablePool(index, pool).changeCount += 1;
}

/** Records that a team uses less, which may allow its tasks to start in any pool. */
export function recordTeamCapacityFreed(index: WorkIndex, team: TeamId): void {
	for (const pool of index.readyByTeam.get(team)?.keys() ?? []) {
		recordPoolChanged(index, pool);
	}
}

const emptyPool: PoolIndex = {
	workload: emptyWorkload, ready: new Set(), unstartedJobs: new Map(), changeCount: 0,
};

/** Returns the indexes of a pool, which change in place. */
export function getPoolIndex(index: WorkIndex, pool: PoolId): PoolIndex {
	return index.pools.get(pool) ?? emptyPool;
}
