/**
 * Look-ups in the ledger, and the functions that keep its resource usage and counts in step with its runs.
 */
import {
	toBrand, type JobId,
} from '@samphiremill/common';
import {addDoneOccurrence} from './done-occurrences.js';
import {parseTaskId} from './ids.js';
import {estimateJobBytes, releasedJobBytes} from './job-memory.js';
import {getQueuePlace} from './job-callers.js';
import {emptySpecification, getOrCreateOccurrence, isOccurrenceOver} from './occurrences.js';
import {addResources, createResources, getReservedResources} from './resources.js';
import {findStartUnderWay} from './starts-under-way.js';
import {createRunKey} from './uncertain-starts.js';
import {
	closeOccurrence, createWorkIndex, recordJobReleased, recordPoolChanged, recordTaskChanged, recordTeamCapacityFreed, unindexJob,
} from './work-index.js';
import type {
	ActiveConfiguration, FleetConfiguration, IncarnationId, IncarnationUsage, Job, JobStatus, Ledger, MinionRecord, QueueDefinition, RunEnd, StepProgress, StepSpecification, Task, TaskRun,
} from './types.js';

/** Creates an empty ledger. */
export function createLedger(): Ledger {
	return {
		term: 0,
		configuration: undefined,
		jobs: new Map(),
		storedBytes: 0,
		activeJobs: new Set(),
		uncertainStarts: new Map(),
		startsUnderWay: new Map(),
		assignmentCount: 0,
		endedMinions: new Set(),
		earlyCancels: new Map(),
		incarnations: new Map(),
		usedByTeam: new Map(),
		waves: new Map(),
		workerOrders: new Map(),
		controlHosts: new Map(),
		crashes: [],
		index: createWorkIndex(),
	};
}

/** Creates the usage of an incarnation of a minion that has no runs yet. */
export function createIncarnationUsage(record: MinionRecord): IncarnationUsage {
	return {
		record, capacitySequence: undefined, runs: new Map(), lapsed: new Map(), used: createResources(), isDraining: false, mayHoldForeignLease: false,
	};
}

/**
 * Returns the specification of the step that a task belongs to.
 *
 * @throws RangeError if the job has no such step.
 */
export function getStep(task: Pick<Task, 'job' | 'step'>): StepSpecification {
	const step = task.job.specification.steps[task.step];
	if (step === undefined) {
		throw new RangeError(`job ${task.job.id} has no step ${task.step}`);
	}

	return step;
}

/** Returns the progress of a task's step, or `undefined` if the occurrence was dropped after its end or the job's. */
export function getStepProgress(task: Pick<Task, 'job' | 'step' | 'occurrence'>): StepProgress | undefined {
	return task.job.occurrences.get(task.occurrence)?.steps[task.step];
}

/** Finds a task by id. Returns `undefined` if it is unknown, or its occurrence holds no tasks: it is not due yet, is done, or was dropped with its job. */
export function findTask(ledger: Ledger, id: string): Task | undefined {
	const parts = parseTaskId(id);
	const job = parts === undefined ? undefined : ledger.jobs.get(parts.job);
	return parts === undefined ? undefined : job?.occurrences.get(parts.occurrence)?.steps[parts.step]?.tasks[parts.index];
}

/** Like `findTask`, but also finds a task of an occurrence of an active job that holds no tasks yet. */
export function findAssignableTask(ledger: Ledger, id: string): Task | undefined {
	const parts = parseTaskId(id);
	const job = parts === undefined ? undefined : ledger.jobs.get(parts.job);
	if (parts !== undefined && job?.status === 'active') {
		getOrCreateOccurrence(job, parts.occurrence);
	}

	return findTask(ledger, id);
}

/** Lists the tasks of the occurrences that hold some, in their order; none once the job has ended and has no runs left. */
export function listTasks(job: Job): readonly Task[] {
	const occurrences = [...job.occurrences].toSorted(([left], [right]) => left - right);
	return occurrences.flatMap(([, {steps}]) => steps.flatMap(({tasks}) => tasks));
}

/** Counts the runs of a task's step on an incarnation; ended tasks count for as long as they have a run. */
export function countStepRuns(task: Task, life: IncarnationId): number {
	let count = 0;
	for (const {runs} of getStepProgress(task)?.tasks ?? []) {
		for (const run of runs) {
			count += Number(run.life === life);
		}
	}

	return count;
}

const isIdle = (task: Task) => !task.isDone && task.runs.length === 0;

/** Replaces a task by a changed copy, and updates the counts of its step and the work index. Returns the copy. */
export function replaceTask(ledger: Ledger, before: Task, change: Partial<Pick<Task, 'runs' | 'lastRunNumber' | 'lapsedRuns' | 'failures' | 'losses' | 'checkpoint' | 'isDone'>>): Task {
	const after: Task = {...before, ...change};
	const steps = before.job.occurrences.get(before.occurrence)?.steps ?? [];
	const progress = steps[before.step];
	if (progress !== undefined) {
		progress.tasks[before.index] = after;
		progress.doneCount += Number(after.isDone) - Number(before.isDone);
		progress.idleCount += Number(isIdle(after)) - Number(isIdle(before));
		recordTaskChanged(ledger.index, {before, after, steps});
	}

	return after;
}

const updateRunUsage = (ledger: Ledger, task: Task, {run, factor}: {readonly run: TaskRun; readonly factor: 1 | -1}) => {
	const step = getStep(task);
	const incarnation = ledger.incarnations.get(run.life);
	if (incarnation !== undefined) {
		addResources(incarnation.used, getReservedResources(step), factor);
		if (factor === 1) {
			incarnation.runs.set(task.id, run.number);
		} else {
			incarnation.runs.delete(task.id);
		}
	}

	task.job.runCount += factor;
	const {team} = task.job;
	if (team !== undefined) {
		const used = ledger.usedByTeam.get(team) ?? createResources();
		ledger.usedByTeam.set(team, used);
		addResources(used, step.request, factor);
	}
};

/** Adds a run to a task and reserves its resources. Returns the changed task. */
export function addRun(ledger: Ledger, before: Task, run: TaskRun): Task {
	const task = replaceTask(ledger, before, {runs: [...before.runs, run], lastRunNumber: Math.max(run.number, before.lastRunNumber)});
	updateRunUsage(ledger, task, {run, factor: 1});
	return task;
}

const recordCapacityFreed = ({index, incarnations}: Ledger, {job}: Task, {life}: TaskRun) => {
	recordPoolChanged(index, incarnations.get(life)?.record.pool ?? job.pool);
	if (job.team !== undefined) {
		recordTeamCapacityFreed(index, job.team);
	}
};

/** Removes an ended run from a task and releases its resources. Returns the changed task. */
export function removeRun(ledger: Ledger, before: Task, run: TaskRun): Task {
	const task = replaceTask(ledger, before, {runs: before.runs.filter(({number}) => number !== run.number)});
	updateRunUsage(ledger, task, {run, factor: -1});
	ledger.uncertainStarts.delete(createRunKey({task: task.id, run: run.number}));
	recordCapacityFreed(ledger, task, run);
	return task;
}

/**
 * Returns whether an end that a minion reports belongs to a run that is no longer assigned: it lapsed since its lease expired before the report, or
 * its start was under way, and a later incarnation of the minion carried it out.
 */
export function isLateRunEnd(ledger: Ledger, {id, lapsedRuns}: Task, {run, life, ending}: RunEnd): boolean {
	if (ending !== 'done' && ending !== 'failed') {
		return false;
	}

	const minion = ledger.incarnations.get(life)?.record.minion;
	const start = findStartUnderWay(ledger, {task: id, run});
	return lapsedRuns.some(lapsed => lapsed.number === run && lapsed.life === life)
		|| (start !== undefined && start.minion === minion && start.life !== life);
}

/**
 * Ends a job.
 *
 * @param end - The final status, and the end as Unix time in milliseconds.
 */
export function endJob(ledger: Ledger, job: Job, {status, atMs}: {readonly status: JobStatus; readonly atMs: number}): void {
	job.status = status;
	job.endedAtMs = atMs;
	ledger.activeJobs.delete(job);
	unindexJob(ledger.index, job);
}

/** Drops the tasks and the specification of a job that has ended and has no runs left. */
export function dropTasksIfEnded(ledger: Ledger, job: Job): void {
	if (job.status !== 'active' && job.runCount === 0 && !job.isReleased) {
		ledger.storedBytes += releasedJobBytes - estimateJobBytes(job.specification);
		job.isReleased = true;
		job.occurrences.clear();
		job.specification = emptySpecification;
		recordJobReleased(ledger.index, job);
	}
}

/** Drops the tasks of a scheduled job's occurrence that is done and has no runs left, and the tasks of a job that has ended and has none. */
export function dropTasksIfOver(ledger: Ledger, {job, occurrence: number}: Pick<Task, 'job' | 'occurrence'>): void {
	const occurrence = job.occurrences.get(number);
	const isScheduled = job.specification.schedule !== undefined;
	if (job.status === 'active' && isScheduled && occurrence !== undefined && isOccurrenceOver(occurrence)) {
		closeOccurrence(ledger.index, job, occurrence);
		job.occurrences.delete(number);
		addDoneOccurrence(job.doneOccurrences, number);
	}

	dropTasksIfEnded(ledger, job);
}

/** Forgets a job. */
export function forgetJob(ledger: Ledger, job: Job): void {
	ledger.jobs.delete(job.id);
	ledger.storedBytes -= job.isReleased ? releasedJobBytes : estimateJobBytes(job.specification);
}

const compareByPrefixLength = (left: QueueDefinition, right: QueueDefinition) => right.pathPrefix.length - left.pathPrefix.length;

const groupByHost = (queues: readonly QueueDefinition[]) => {
	const byHost = new Map<string, QueueDefinition[]>();
	for (const queue of queues) {
		const known = byHost.get(queue.host) ?? [];
		byHost.set(queue.host, [...known, queue]);
	}

	return new Map([...byHost].map(([host, known]) => [host, known.toSorted(compareByPrefixLength)] as const));
};

/** Adds indexes to a valid configuration that was parsed from the given document. */
export function createActiveConfiguration(configuration: FleetConfiguration, document: string): ActiveConfiguration {
	return {
		...configuration,
		document,
		queuesByHost: groupByHost(configuration.queues),
		queuesById: new Map(configuration.queues.map(queue => [queue.queue, queue])),
		teamsByKey: new Map(configuration.teams.flatMap(team => team.keys.map(key => [key, team] as const))),
		teamsById: new Map(configuration.teams.map(team => [team.team, team])),
	};
}

/** A queue that matches a request, and the part of the path after the queue's prefix. */
export type QueueMatch = {
	readonly queue: QueueDefinition;
	readonly rest: string;
};

/** Finds the queue of a request's host whose path prefix is the longest match. */
export function findQueue(configuration: ActiveConfiguration, {host, path}: {readonly host: string; readonly path: string}): QueueMatch | undefined {
	const queue = configuration.queuesByHost.get(host)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	return queue && {queue, rest: path.slice(queue.pathPrefix.length)};
}

/**
 * Counts the active jobs of a queue that have no schedule and have not started.
 *
 * @param options - The queue, whose place may have had a queue of another name before, and whether a minion has confirmed a run of a job.
 */
export function countPendingJobs(ledger: Ledger, {queue, isStartConfirmed}: {readonly queue: QueueDefinition; readonly isStartConfirmed: (job: Job) => boolean}): number {
	const place = getQueuePlace(queue);
	let count = 0;
	for (const job of ledger.activeJobs) {
		if ((job.queue === queue.queue || job.place === place) && job.specification.schedule === undefined && !isStartConfirmed(job)) {
			count += 1;
		}
	}

	return count;
}

/** The state of a job as reported to callers. */
export type PublicJobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * Returns the state of a job as reported to callers.
 *
 * @param isStartConfirmed - Whether a minion has confirmed a run of the job.
 */
export function getPublicJobState({status}: Job, isStartConfirmed: boolean): PublicJobState {
	if (status !== 'active') {
		return status;
	}

	return isStartConfirmed ? 'running' : 'queued';
}

/** Returns whether untrusted text has the form of a job id. */
export function isJobId(text: string): text is JobId {
	return /^[\da-f]{16}$/v.test(text) && toBrand<JobId>(text) === text;
}
