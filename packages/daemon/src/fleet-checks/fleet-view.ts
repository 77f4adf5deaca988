/**
 * The fleet as the checks know it from their observations alone.
 */
import type {
	JobId, QueueId, TeamId, WorkerId,
} from '@samphiremill/common';
import type {
	FleetConfiguration, IncarnationId, JobSpecification, MinionRecord, Resources, StepSpecification, TaskId, Ticket,
} from '@samphiremill/core';
import {createTaskName, parseTaskName} from './task-name.js';
import type {ObservedEnd} from './types.js';

/** A run that is on a minion. */
export type RunView = {
	readonly task: TaskId;
	readonly run: number;
	readonly checkpoint: string;
	readonly startedAtMs: number;
};

/** An end that a minion has in its list. */
export type EndView = ObservedEnd & {readonly atMs: number};

/** A minion that is up. */
export type MinionView = {
	record: MinionRecord;
	readonly upSinceMs: number;
	earlierCapacities: ReadonlyArray<{readonly capacity: Resources; readonly untilMs: number}>;
	readonly runs: Map<TaskId, RunView>;
	/** The ends that are not acknowledged. */
	ends: readonly EndView[];
	lastEndNumber: number;
	/** Ends up to this number are from before the lease lapsed. */
	lapsedUpTo: number;
	isLeaving: boolean;
	drainingSinceMs: number | undefined;
};

/** A job as callers know it. */
export type JobView = {
	readonly queue: QueueId;
	readonly team: TeamId | undefined;
	readonly specification: JobSpecification;
	/** Submissions that are not answered, or were answered otherwise than by a rejection. */
	openSubmissions: number;
	isCancelSent: boolean;
	cancelledAtMs: number | undefined;
};

/** A task as minions know it. */
export type TaskView = {
	/** A minion has listed that the task is done. */
	isListedDone: boolean;
	/** When an end as done was acknowledged. */
	doneAtMs: number | undefined;
	startedAtMs: number;
	/** Acknowledged failures, and the time of the last. */
	failures: number;
	failedAtMs: number;
	crashCount: number;
	startsAfterCrashes: number;
	readonly checkpoints: Set<string>;
	lastAtWorkMs: number;
	/** It was at work when it was stopped, and hasn't been since. */
	isStopped: boolean;
};

/** A configuration that was sent. */
export type ConfigurationView = {
	readonly configuration: FleetConfiguration;
	confirmedAtMs: number | undefined;
};

/** All that was observed. */
export type FleetView = {
	readonly configurations: ConfigurationView[];
	readonly jobs: Map<JobId, JobView>;
	readonly minions: Map<IncarnationId, MinionView>;
	readonly tasks: Map<TaskId, TaskView>;
	/** Tickets by step and minion, with the time of issue. */
	readonly tickets: Map<string, ReadonlyMap<Ticket, number>>;
	readonly orders: Map<WorkerId, {readonly holder: string; readonly fencingToken: number; readonly atMs: number}>;
	readonly waves: Map<string, {readonly maximumAtOnce: number; readonly isConfirmed: boolean}>;
	readonly upkeeps: Map<WorkerId, {readonly wave: string; readonly untilMs: number}>;
	faultUntilMs: number;
};

/**
 * Creates the view before any observation.
 *
 * @returns The view.
 */
export function createFleetView(): FleetView {
	return {
		configurations: [], jobs: new Map(), minions: new Map(), tasks: new Map(), tickets: new Map(), orders: new Map(), waves: new Map(), upkeeps: new Map(), faultUntilMs: Number.NEGATIVE_INFINITY,
	};
}

/**
 * Returns what is known of a task.
 *
 * @param view - The fleet.
 * @param task - The task's name.
 * @returns The task, which is added if it was unknown.
 */
export function getTask(view: FleetView, task: TaskId): TaskView {
	const known = view.tasks.get(task);
	if (known !== undefined) {
		return known;
	}

	const created: TaskView = {
		isListedDone: false,
		doneAtMs: undefined,
		startedAtMs: Number.NEGATIVE_INFINITY,
		failures: 0,
		failedAtMs: 0,
		crashCount: 0,
		startsAfterCrashes: 0,
		checkpoints: new Set(),
		lastAtWorkMs: 0,
		isStopped: false,
	};
	view.tasks.set(task, created);
	return created;
}

/**
 * Finds the step that a task belongs to.
 *
 * @param view - The fleet.
 * @param task - The task's name.
 * @returns The step as submitted; `undefined` if nobody submitted it.
 */
export function findStep(view: FleetView, task: TaskId): StepSpecification | undefined {
	const {job, step, index, occurrence} = parseTaskName(task);
	const specification = view.jobs.get(job)?.specification;
	const found = specification?.steps[step];
	return found !== undefined && index < found.count && occurrence < (specification?.schedule?.count ?? 1) ? found : undefined;
}

/**
 * Lists the tasks of a step of one occurrence.
 *
 * @param view - The fleet.
 * @param name - The job, occurrence and step.
 * @returns Their names.
 */
export function listStepTasks(view: FleetView, {job, occurrence, step}: {readonly job: JobId; readonly occurrence: number; readonly step: number}): readonly TaskId[] {
	const count = view.jobs.get(job)?.specification.steps[step]?.count ?? 0;
	return Array.from({length: count}, (_, index) => createTaskName({
		job, occurrence, step, index,
	}));
}

/**
 * Returns whether all tasks of a step are done as far as minions have listed it. One end completes a gang.
 *
 * @param view - The fleet.
 * @param name - The job, occurrence and step.
 * @returns Whether they are.
 */
export function isStepDone(view: FleetView, name: {readonly job: JobId; readonly occurrence: number; readonly step: number}): boolean {
	const tasks = listStepTasks(view, name);
	const isDone = (task: TaskId) => getTask(view, task).isListedDone;
	return view.jobs.get(name.job)?.specification.steps[name.step]?.isGang ? tasks.some(task => isDone(task)) : tasks.every(task => isDone(task));
}

/**
 * Lists the runs on all minions.
 *
 * @param view - The fleet.
 * @returns The runs with their minions.
 */
export function listRuns(view: FleetView): ReadonlyArray<RunView & {readonly minion: MinionView}> {
	return [...view.minions.values()].flatMap(minion => [...minion.runs.values()].map(run => ({...run, minion})));
}

/**
 * Lists the configurations that may be in force.
 *
 * @param view - The fleet.
 * @param now - The time, and how long a former configuration may still be in force.
 * @returns The configurations.
 */
export function listConfigurations(view: FleetView, {nowMs, configurationMs}: {readonly nowMs: number; readonly configurationMs: number}): readonly FleetConfiguration[] {
	const settled = view.configurations.filter(({confirmedAtMs}) => confirmedAtMs !== undefined && nowMs - confirmedAtMs > configurationMs);
	const oldestVersion = Math.max(Number.NEGATIVE_INFINITY, ...settled.map(({configuration}) => configuration.version));
	return view.configurations.map(({configuration}) => configuration).filter(({version}) => version >= oldestVersion);
}
