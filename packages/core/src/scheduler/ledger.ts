/**
 * The ledger's look-ups and the counts that every change of a run goes through.
 */
import {
	toBrand, type JobId, type QueueId,
} from '@samphiremill/common';
import {createTaskId, parseTaskId} from './ids.js';
import {addResources, createResources, getReservedResources} from './resources.js';
import {
	createWorkIndex, recordJobReleased, recordPoolChanged, recordTaskChanged, recordTeamCapacityFreed, unindexJob,
} from './work-index.js';
import type {
	ActiveConfiguration, FleetConfiguration, Job, JobStatus, Ledger, IncarnationUsage, MinionRecord, Occurrence, QueueDefinition, RunEnd, StepProgress, StepSpecification, Task, TaskRun,
} from './types.js';

/** @returns A ledger that holds nothing. */
export function createLedger(): Ledger {
	return {
		term: 0,
		configuration: undefined,
		jobs: new Map(),
		activeJobs: new Set(),
		incarnations: new Map(),
		usedByTeam: new Map(),
		waves: new Map(),
		workerOrders: new Map(),
		controlHosts: new Map(),
		index: createWorkIndex(),
	};
}

/**
 * @param record - A life of a minion that begins.
 * @returns Its use, with nothing run.
 */
export function createIncarnationUsage(record: MinionRecord): IncarnationUsage {
	return {
		record, runs: new Map(), lapsed: new Map(), used: createResources(), isDraining: false,
	};
}

/**
 * @param task - A task.
 * @returns The step it belongs to.
 */
export function getStep(task: Pick<Task, 'job' | 'step'>): StepSpecification {
	const step = task.job.specification.steps[task.step];
	if (step === undefined) {
		throw new RangeError(`job ${task.job.id} has no step ${task.step}`);
	}

	return step;
}

/**
 * @param task - A task.
 * @returns The progress of its step, or nothing once the job is over.
 */
export function getStepProgress(task: Pick<Task, 'job' | 'step' | 'occurrence'>): StepProgress | undefined {
	return task.job.occurrences[task.occurrence]?.steps[task.step];
}

/**
 * @param ledger - The ledger.
 * @param id - A task's id.
 * @returns The task, or nothing if it is unknown or its job is over.
 */
export function findTask(ledger: Ledger, id: string): Task | undefined {
	const parts = parseTaskId(id);
	const job = parts === undefined ? undefined : ledger.jobs.get(parts.job);
	return parts === undefined ? undefined : job?.occurrences[parts.occurrence]?.steps[parts.step]?.tasks[parts.index];
}

const createOccurrence = (job: Job, occurrence: number): Occurrence => ({
	steps: job.specification.steps.map(({count}, step) => ({
		doneCount: 0,
		idleCount: count,
		tasks: Array.from({length: count}, (_, index): Task => ({
			id: createTaskId({
				job: job.id, occurrence, step, index,
			}),
			job,
			occurrence,
			step,
			index,
			runs: [],
			lastRunNumber: 0,
			lapsedRuns: [],
			failures: 0,
			checkpoint: '',
			isDone: false,
		})),
	})),
});

/**
 * @param job - A job that begins.
 * @returns Its occurrences, with nothing done.
 */
export function createOccurrences(job: Job): readonly Occurrence[] {
	const count = job.specification.schedule?.count ?? 1;
	return Array.from({length: count}, (_, occurrence) => createOccurrence(job, occurrence));
}

/**
 * @param job - A job.
 * @returns All its tasks; none once it is over and nothing of it runs.
 */
export function listTasks(job: Job): readonly Task[] {
	return job.occurrences.flatMap(({steps}) => steps.flatMap(({tasks}) => tasks));
}

const isIdle = (task: Task) => !task.isDone && task.runs.length === 0;

/**
 * Puts a changed task in the place of the one it was made from, and keeps the counts of its step.
 *
 * @param ledger - The ledger.
 * @param before - The task as it is.
 * @param change - What changes.
 * @returns The changed task.
 */
export function replaceTask(ledger: Ledger, before: Task, change: Partial<Pick<Task, 'runs' | 'lastRunNumber' | 'lapsedRuns' | 'failures' | 'checkpoint' | 'isDone'>>): Task {
	const after: Task = {...before, ...change};
	const steps = before.job.occurrences[before.occurrence]?.steps ?? [];
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

/**
 * Adds a run to a task and counts its room.
 *
 * @param ledger - The ledger.
 * @param before - The task.
 * @param run - The run.
 * @returns The changed task.
 */
export function addRun(ledger: Ledger, before: Task, run: TaskRun): Task {
	const task = replaceTask(ledger, before, {runs: [...before.runs, run], lastRunNumber: Math.max(run.number, before.lastRunNumber)});
	updateRunUsage(ledger, task, {run, factor: 1});
	return task;
}

const recordCapacityFreed = ({index, incarnations: lives}: Ledger, {job}: Task, {life}: TaskRun) => {
	recordPoolChanged(index, lives.get(life)?.record.pool ?? job.pool);
	if (job.team !== undefined) {
		recordTeamCapacityFreed(index, job.team);
	}
};

/**
 * Takes a run from a task and gives its room back.
 *
 * @param ledger - The ledger.
 * @param before - The task.
 * @param run - The run that ended.
 * @returns The changed task.
 */
export function removeRun(ledger: Ledger, before: Task, run: TaskRun): Task {
	const task = replaceTask(ledger, before, {runs: before.runs.filter(({number}) => number !== run.number)});
	updateRunUsage(ledger, task, {run, factor: -1});
	recordCapacityFreed(ledger, task, run);
	return task;
}

/**
 * @param task - A task.
 * @param end - The end of one of its runs, as its minion tells it.
 * @returns Whether it reports what became of a run that was given up.
 */
export function isLateRunEnd({lapsedRuns}: Task, {run, life, ending}: RunEnd): boolean {
	return (ending === 'done' || ending === 'failed') && lapsedRuns.some(lapsed => lapsed.number === run && lapsed.life === life);
}

/**
 * Ends a job.
 *
 * @param ledger - The ledger.
 * @param job - The job.
 * @param end - How it ended, and the Unix time.
 */
export function endJob(ledger: Ledger, job: Job, {status, atMs}: {readonly status: JobStatus; readonly atMs: number}): void {
	job.status = status;
	job.endedAtMs = atMs;
	ledger.activeJobs.delete(job);
	unindexJob(ledger.index, job);
}

/**
 * Drops the tasks of a job that is over, once nothing of it runs.
 *
 * @param ledger - The ledger.
 * @param job - The job.
 */
export function dropTasksIfEnded(ledger: Ledger, job: Job): void {
	if (job.status !== 'active' && job.runCount === 0) {
		job.occurrences = [];
		recordJobReleased(ledger.index, job);
	}
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

/**
 * @param configuration - A checked configuration.
 * @param document - The text it came from.
 * @returns The configuration with its indexes.
 */
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

/** A queue, and what follows its prefix in the path. */
export type QueueMatch = {
	readonly queue: QueueDefinition;
	readonly rest: string;
};

/**
 * @param configuration - The configuration in force.
 * @param target - The host and path of a request.
 * @returns The queue with the longest prefix that the path begins with.
 */
export function findQueue(configuration: ActiveConfiguration, {host, path}: {readonly host: string; readonly path: string}): QueueMatch | undefined {
	const queue = configuration.queuesByHost.get(host)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	return queue && {queue, rest: path.slice(queue.pathPrefix.length)};
}

/**
 * @param ledger - The ledger.
 * @param queue - A queue.
 * @returns How many accepted jobs without a schedule have not started.
 */
export function countPendingJobs(ledger: Ledger, queue: QueueId): number {
	let count = 0;
	for (const job of ledger.activeJobs) {
		if (job.queue === queue && !job.hasStarted && job.specification.schedule === undefined) {
			count += 1;
		}
	}

	return count;
}

/** What a caller is told of a job. */
export type PublicJobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * @param job - A job.
 * @returns What a caller is told.
 */
export function getPublicJobState(job: Job): PublicJobState {
	if (job.status !== 'active') {
		return job.status;
	}

	return job.hasStarted ? 'running' : 'queued';
}

/**
 * @param text - Foreign text.
 * @returns Whether it has the form of a job's id.
 */
export function isJobId(text: string): text is JobId {
	return /^[\da-f]{16}$/v.test(text) && toBrand<JobId>(text) === text;
}
