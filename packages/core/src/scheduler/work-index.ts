/**
 * What the planner and the admission ask of the ledger at every turn, brought up to date by each change,
 * so that a decision costs what it touches and not all that the ledger holds.
 */
import type {JobId, PoolId, TeamId} from '@samphiremill/common';
import {getDueAtMs, getOccurrenceWork} from './estimates.js';
import type {
	Job, Occurrence, PoolWorkload, StepProgress, StepSpecification, Task, TaskId,
} from './types.js';

type MutableWorkload = {-readonly [Key in keyof PoolWorkload]: PoolWorkload[Key]};

/** A step of a due occurrence of an active job. */
export type OpenStep = {
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	readonly specification: StepSpecification;
	readonly progress: StepProgress;
	/** The work of the whole occurrence, in millicore milliseconds. */
	readonly work: number;
	/** When the occurrence is due to start, as Unix time in milliseconds. */
	readonly dueMs: number;
	/** Whether it has tasks that may start now. */
	isReady: boolean;
	/** What of its pool's measure is its part. */
	countedWorkload: PoolWorkload;
	/** Changes with each step of the occurrence that is done. */
	readonly occurrenceProgress: OccurrenceProgress;
};

/** How far an occurrence has come along its chains of steps. */
export type OccurrenceProgress = {
	/** How many of its steps are done; estimates of what is left hold while it stays the same. */
	doneSteps: number;
};

/** A job none of whose tasks has started. */
export type UnstartedJob = {
	/** The work of one occurrence, in millicore milliseconds. */
	readonly work: number;
	workLeft: number;
};

/** What is known of one pool. */
export type PoolIndex = {
	readonly workload: PoolWorkload;
	/** Steps with tasks to start, in no order. */
	readonly ready: ReadonlySet<OpenStep>;
	readonly unstartedJobs: ReadonlyMap<Job, UnstartedJob>;
	/** Goes up with each change that may let a task of the pool start. */
	readonly changeCount: number;
};

type MutablePoolIndex = {
	readonly measure: MutableWorkload;
	readonly ready: Set<OpenStep>;
	readonly unbegun: Map<Job, UnstartedJob>;
	changeCount: number;
};

/** The indexes of a ledger. Only `work-index` changes them. */
export type WorkIndex = {
	readonly pools: Map<PoolId, MutablePoolIndex>;
	readonly steps: Map<StepProgress, OpenStep>;
	/** The first occurrence of each scheduled job that was not due yet. */
	readonly nextDue: Map<Job, number>;
	/** Ready steps of each team, by pool. */
	readonly readyByTeam: Map<TeamId, Map<PoolId, number>>;
	/** Jobs that are over, with runs that are not. */
	readonly endedWithRuns: Set<JobId>;
	/** Tasks that are done, with runs that are not. */
	readonly doneWithRuns: Set<TaskId>;
};

// A task that runs is half done, for all that is known.
const remainingShareOfRunning = 0.5;

/** A pool that nothing is asked of. */
export const emptyWorkload: PoolWorkload = {
	longRunningMillicores: 0, waitingLongRunningCount: 0, runningMillicores: 0, readyMillicores: 0, workLeft: 0,
};

/** @returns Indexes of nothing. */
export function createWorkIndex(): WorkIndex {
	return {
		pools: new Map(),
		steps: new Map(),
		nextDue: new Map(),
		readyByTeam: new Map(),
		endedWithRuns: new Set(),
		doneWithRuns: new Set(),
	};
}

const getMutablePool = (index: WorkIndex, pool: PoolId): MutablePoolIndex => {
	const known = index.pools.get(pool);
	if (known !== undefined) {
		return known;
	}

	const created: MutablePoolIndex = {
		measure: {...emptyWorkload}, ready: new Set(), unbegun: new Map(), changeCount: 0,
	};
	index.pools.set(pool, created);
	return created;
};

const measureStep = ({count, request: {cpuMillicores}, estimateMs, isFiller, isLasting}: StepSpecification, {doneCount, idleCount}: StepProgress, isReady: boolean): PoolWorkload => {
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

const addMeasure = (total: MutableWorkload, part: PoolWorkload, factor: 1 | -1) => {
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

const setCountedWorkload = (pool: MutablePoolIndex, open: OpenStep, counted: PoolWorkload) => {
	addMeasure(pool.measure, open.countedWorkload, -1);
	addMeasure(pool.measure, counted, 1);
	const unbegun = pool.unbegun.get(open.job);
	if (unbegun !== undefined) {
		unbegun.workLeft += counted.workLeft - open.countedWorkload.workLeft;
	}

	open.countedWorkload = counted;
};

const isStepDone = ({doneCount, tasks}: StepProgress) => doneCount === tasks.length;

const refreshStep = (index: WorkIndex, open: OpenStep, steps: readonly StepProgress[]) => {
	const pool = getMutablePool(index, open.job.pool);
	const {specification, progress} = open;
	const wasReady = open.isReady;
	const isReady = progress.idleCount > 0 && specification.dependsOn.every(earlier => {
		const before = steps[earlier];
		return before !== undefined && isStepDone(before);
	});
	setReady(index, pool, open, isReady);
	setCountedWorkload(pool, open, measureStep(specification, progress, isReady));
	if (isReady && !wasReady) {
		pool.changeCount += 1;
	}
};

const openOccurrence = (index: WorkIndex, job: Job, occurrence: number) => {
	const steps = job.occurrences[occurrence]?.steps ?? [];
	const chain: OccurrenceProgress = {doneSteps: 0};
	const work = getOccurrenceWork(job.specification);
	const dueMs = getDueAtMs(job, occurrence);
	for (const [step, progress] of steps.entries()) {
		const specification = job.specification.steps[step];
		if (specification !== undefined) {
			const open: OpenStep = {
				job, occurrence, step, specification, progress, work, dueMs, isReady: false, countedWorkload: emptyWorkload, occurrenceProgress: chain,
			};
			index.steps.set(progress, open);
			refreshStep(index, open, steps);
		}
	}
};

/**
 * Takes an active job in.
 *
 * @param index - The indexes.
 * @param job - The job, with its occurrences. Those of a schedule count from `openDueOccurrences` on.
 */
export function indexJob(index: WorkIndex, job: Job): void {
	if (!job.hasStarted) {
		getMutablePool(index, job.pool).unbegun.set(job, {work: getOccurrenceWork(job.specification), workLeft: 0});
	}

	if (job.specification.schedule === undefined) {
		openOccurrence(index, job, 0);
	} else {
		index.nextDue.set(job, 0);
	}
}

/**
 * Opens the occurrences whose time has come.
 *
 * @param index - The indexes.
 * @param nowMs - The Unix time in milliseconds.
 */
export function openDueOccurrences(index: WorkIndex, nowMs: number): void {
	for (const [job, first] of index.nextDue) {
		let next = first;
		while (next < job.occurrences.length && getDueAtMs(job, next) <= nowMs) {
			openOccurrence(index, job, next);
			next += 1;
		}

		if (next >= job.occurrences.length) {
			index.nextDue.delete(job);
		} else if (next > first) {
			index.nextDue.set(job, next);
		}
	}
}

const listSteps = (job: Job): readonly StepProgress[] => job.occurrences.flatMap(({steps}: Occurrence) => steps);

/**
 * Takes a job out that has ended.
 *
 * @param index - The indexes.
 * @param job - The job, still with its occurrences.
 */
export function unindexJob(index: WorkIndex, job: Job): void {
	const pool = getMutablePool(index, job.pool);
	for (const progress of listSteps(job)) {
		const open = index.steps.get(progress);
		if (open !== undefined) {
			setReady(index, pool, open, false);
			setCountedWorkload(pool, open, emptyWorkload);
			index.steps.delete(progress);
		}
	}

	pool.unbegun.delete(job);
	index.nextDue.delete(job);
	if (job.runCount > 0) {
		index.endedWithRuns.add(job.id);
	}
}

/**
 * Notes that nothing runs any more of a job that is over.
 *
 * @param index - The indexes.
 * @param job - The job.
 */
export function recordJobReleased(index: WorkIndex, job: Job): void {
	index.endedWithRuns.delete(job.id);
}

/**
 * Notes that a task of a job has started.
 *
 * @param index - The indexes.
 * @param job - The job.
 */
export function recordJobStarted(index: WorkIndex, job: Job): void {
	getMutablePool(index, job.pool).unbegun.delete(job);
}

/**
 * Notes that the counts of a task's step changed.
 *
 * @param index - The indexes.
 * @param change - The task as it was and as it is, and the steps of its occurrence.
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

/**
 * Notes that a pool has more room, or that more tasks of it may start.
 *
 * @param index - The indexes.
 * @param pool - The pool.
 */
export function recordPoolChanged(index: WorkIndex, pool: PoolId): void {
	getMutablePool(index, pool).changeCount += 1;
}

/**
 * Notes that a team uses less, which may let its tasks start in any pool.
 *
 * @param index - The indexes.
 * @param team - The team.
 */
export function recordTeamCapacityFreed(index: WorkIndex, team: TeamId): void {
	for (const pool of index.readyByTeam.get(team)?.keys() ?? []) {
		recordPoolChanged(index, pool);
	}
}

const emptyPool: PoolIndex = {
	workload: emptyWorkload, ready: new Set(), unstartedJobs: new Map(), changeCount: 0,
};

/**
 * @param index - The indexes.
 * @param pool - A pool.
 * @returns What is known of it. It changes in place.
 */
export function getPoolIndex(index: WorkIndex, pool: PoolId): PoolIndex {
	return index.pools.get(pool) ?? emptyPool;
}
