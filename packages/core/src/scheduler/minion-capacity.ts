/**
 * What a minion has left for more runs, and what keeps it from taking a task.
 */
import type {JobId, MinionId} from '@samphiremill/common';
import {overdueWaitMs} from './constants.js';
import {isCrashSuspect} from './crash-suspicion.js';
import {findTask, getStep} from './ledger.js';
import type {ReadyStep} from './order-work.js';
import {
	addResources, createResources, fitsInto, getReservedResources, subtractResources,
} from './resources.js';
import {
	countUnassignedOfStep, findStepLimit, sumUnassigned, type StepLimit,
} from './run-limits.js';
import type {
	Ledger, IncarnationId, IncarnationUsage, MinionRecord, MutableResources, Resources, StepProgress, StepSpecification, Task, TaskId,
} from './types.js';

/** A minion that may be given work now. */
export type UsableMinion = {
	readonly record: MinionRecord;
	/**
	 * How many runs of tasks that end the minion may have at once, independent of their resources. Finite after failures on
	 * the minion; then it takes long-running tasks only if no other minion does.
	 */
	readonly runLimit: number;
	/** How many more runs of tasks that end may be started there before others are confirmed; unlimited if absent. */
	readonly startsLeft?: number;
	/** The minion will be drained soon, so other minions are preferred for long-running tasks. */
	readonly isDrainingSoon: boolean;
	/** The minion is suspected of being slow. It gets work only if no other minion has capacity. */
	readonly isSuspect: boolean;
	/** An order of an earlier leader may still take the worker away, which long-running tasks must not be for. */
	readonly mayBeOrderedAway?: boolean;
	/** A task that has started on the minion and may crash it. */
	readonly crashSuspect?: RunningSuspect | undefined;
	/** Tasks that run on the minion without being assigned, and are being stopped. They count until they have ended. */
	readonly unassignedTasks?: readonly TaskId[];
};

/** The run of a task that may crash its minion. */
export type RunningSuspect = {
	readonly job: JobId;
	/** The run has just started, so that no other task is started beside it. */
	readonly isNew: boolean;
};

/** The free capacity of a minion while a plan fills it. */
export type MinionCapacity = {
	readonly minion: UsableMinion;
	readonly free: MutableResources;
	/** How many more runs of tasks that end the minion may have. */
	runsLeft: number;
	/** A task that may crash the minion; suspects of other jobs don't start beside it. */
	crashSuspect: RunningSuspect | undefined;
	/** The job of the tasks that the plan has started there. */
	plannedJob: JobId | undefined;
};

/** A step whose tasks are placed. */
export type StepContext = {
	readonly ready: ReadyStep;
	readonly step: StepSpecification;
	readonly required: Resources;
	/** How many of the step's tasks run on each incarnation; empty for steps whose tasks need not be spread. */
	readonly runsByIncarnation: Map<IncarnationId, number>;
};

/** What keeps a minion from taking a task. Logged, so the names are values of log fields. */
export type PlacementGate = 'health' | 'capacity' | StepLimit | 'orderedAway' | 'startUnderWay' | 'suspect' | 'advice';

/** Whether a step may run on an incarnation. For some queues an advice service decides this. */
export type IsAllowed = (step: ReadyStep, life: IncarnationId) => boolean;

/**
 * Returns the minion that may still carry out an earlier start of a task. Only an incarnation of it takes the task meanwhile: with the task's
 * next run there it refuses the earlier one, and if it starts again both are lost together.
 */
export type GetAwaitedMinion = (task: Task) => MinionId | undefined;

/** Returns how long a long-running task has waited since its last run, in milliseconds. */
export type GetWaitMs = (task: Task) => number;

// Long-running tasks never end well, so they would use up the limit for as long as they run.
const countRunsThatEnd = (ledger: Ledger, {runs}: IncarnationUsage) => [...runs.keys()].filter(id => {
	const task = findTask(ledger, id);
	return task === undefined || !getStep(task).isLasting;
}).length;

const getRunsLeft = (ledger: Ledger, {runLimit}: UsableMinion, usage: IncarnationUsage | undefined) =>
	usage === undefined || runLimit === Number.POSITIVE_INFINITY ? runLimit : runLimit - countRunsThatEnd(ledger, usage);

const getFreeResources = (ledger: Ledger, {record, unassignedTasks = []}: UsableMinion, usage: IncarnationUsage | undefined): Resources => {
	const free = subtractResources(record.capacity, usage?.used ?? createResources());
	return unassignedTasks.length === 0 ? free : subtractResources(free, sumUnassigned(ledger, unassignedTasks));
};

/** Returns the capacity that the runs on a minion leave. */
export function createMinionCapacity(ledger: Ledger, minion: UsableMinion): MinionCapacity {
	const usage = ledger.incarnations.get(minion.record.life);
	return {
		minion,
		free: {...getFreeResources(ledger, minion, usage)},
		runsLeft: Math.min(getRunsLeft(ledger, minion, usage), minion.startsLeft ?? Number.POSITIVE_INFINITY),
		crashSuspect: minion.crashSuspect,
		plannedJob: undefined,
	};
}

const isSpreadStep = ({isLasting, isFiller, maximumPerMinion}: StepSpecification) => isLasting || isFiller || maximumPerMinion !== undefined;

const countRunsByIncarnation = (step: StepSpecification, tasks: readonly Task[]) => {
	const counts = new Map<IncarnationId, number>();
	if (!isSpreadStep(step)) {
		return counts;
	}

	for (const {runs} of tasks) {
		for (const {life} of runs) {
			counts.set(life, (counts.get(life) ?? 0) + 1);
		}
	}

	return counts;
};

/** Returns what the placement of a step's tasks depends on. */
export function createStepContext(ready: ReadyStep): StepContext {
	const {specification: step, progress} = ready;
	return {
		ready, step, required: getReservedResources(step), runsByIncarnation: countRunsByIncarnation(step, progress.tasks),
	};
}

/** Returns the same for one task that is not placed in the order of the ready steps. The fields of `ready` that only serve this order have default values. */
export function createTaskContext(task: Task, progress: StepProgress): StepContext {
	const {job, occurrence, step} = task;
	return createStepContext({
		job, occurrence, step, specification: getStep(task), progress, slackMs: 0, work: 0, hasStarted: true, isLasting: false, waitMs: 0, isLate: false,
	});
}

/** Whether a minion has the resources for a task of a step, and may have one more run of it. */
export function hasCapacity({runsLeft, free}: MinionCapacity, {required, step}: StepContext): boolean {
	return (step.isLasting || runsLeft > 0) && fitsInto(free, required);
}

/** Whether runs on the minion failed lately. */
export function hasRecentFailures({minion: {runLimit}}: MinionCapacity): boolean {
	return runLimit !== Number.POSITIVE_INFINITY;
}

// A suspect starts alone, so that a crash right after it names the culprit, and not beside another suspect.
const isKeptApart = ({crashSuspect, plannedJob}: MinionCapacity, task: Task) => {
	const isOther = (job: JobId | undefined) => job !== undefined && job !== task.job.id;
	return isCrashSuspect(task)
		? isOther(crashSuspect?.job) || isOther(plannedJob)
		: crashSuspect?.isNew === true && isOther(crashSuspect.job);
};

/** Returns what keeps a minion with capacity from taking a task; `undefined` if nothing does. */
export function findPlacementGate({ready, step, runsByIncarnation}: StepContext, capacity: MinionCapacity, {task, isAllowed, getWaitMs, getAwaitedMinion}: {
	readonly task: Task;
	readonly isAllowed: IsAllowed;
	readonly getWaitMs: GetWaitMs;
	/** Absent if no start is under way. */
	readonly getAwaitedMinion?: GetAwaitedMinion | undefined;
}): PlacementGate | undefined {
	const {record, unassignedTasks = []} = capacity.minion;
	if (step.isLasting && hasRecentFailures(capacity) && getWaitMs(task) < overdueWaitMs) {
		return 'health';
	}

	if (step.isLasting && capacity.minion.mayBeOrderedAway === true) {
		return 'orderedAway';
	}

	const runsOfStep = (runsByIncarnation.get(record.life) ?? 0) + (unassignedTasks.length === 0 ? 0 : countUnassignedOfStep(unassignedTasks, task));
	const limit = findStepLimit(step, {task, record, runsOfStep});
	if (limit !== undefined) {
		return limit;
	}

	if ((getAwaitedMinion?.(task) ?? record.minion) !== record.minion) {
		return 'startUnderWay';
	}

	if (isKeptApart(capacity, task)) {
		return 'suspect';
	}

	return isAllowed(ready, record.life) ? undefined : 'advice';
}

/**
 * Reserves a minion's capacity for a task of a step, or with the factor -1 gives it back.
 *
 * @param reservation - The minion, and the factor.
 */
export function reserveCapacity({step, required, runsByIncarnation}: StepContext, {capacity, factor}: {readonly capacity: MinionCapacity; readonly factor: 1 | -1}): void {
	const {life} = capacity.minion.record;
	addResources(capacity.free, required, -factor);
	capacity.runsLeft -= step.isLasting ? 0 : factor;
	if (isSpreadStep(step)) {
		runsByIncarnation.set(life, (runsByIncarnation.get(life) ?? 0) + factor);
	}
}
