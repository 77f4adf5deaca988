/**
 * Serialises the ledger and restores it. Of jobs that have ended and have no runs left, the specification and
 * the tasks are not saved.
 */
import type {JobId, MinionId, WorkerId} from '@samphiremill/common';
import {recordMinionDraining} from './actions/change-minions.js';
import {replaceConfiguration} from './actions/replace-configuration.js';
import {
	countDoneOccurrences, createDoneOccurrences, saveDoneOccurrences, type SavedDoneOccurrences,
} from './done-occurrences.js';
import {estimateChainMs} from './estimates.js';
import {parseTaskId} from './ids.js';
import {
	addRun, createLedger, createIncarnationUsage, dropTasksIfOver, findTask, listTasks, replaceTask,
} from './ledger.js';
import {estimateJobBytes, releasedJobBytes} from './job-memory.js';
import {getOrCreateOccurrence} from './occurrences.js';
import {recordStartsUnderWay} from './starts-under-way.js';
import {createRunKey} from './uncertain-starts.js';
import {indexJob, unindexJob} from './work-index.js';
import type {
	AcceptedJob, ControlHostRecord, GiveUpReason, Job, JobCaller, JobStatus, Ledger, IncarnationId, MinionCrash, MinionRecord, ParseConfiguration, RunLoss, StartUnderWay, Task, TaskId, TaskRun, MaintenanceOrder, MaintenanceWave, UncertainStart, WorkerOrder,
} from './types.js';

type SavedTask = Pick<Task, 'lastRunNumber' | 'lapsedRuns' | 'failures' | 'checkpoint' | 'isDone'> & {
	readonly id: TaskId;
	readonly runs: readonly TaskRun[];
	/** Absent if there are none, and from snapshots of earlier versions. */
	readonly losses?: readonly RunLoss[];
};

type SavedJob = {
	readonly job: AcceptedJob;
	readonly status: JobStatus;
	readonly endedAtMs: number | undefined;
	readonly hasStarted: boolean;
	/** Absent from snapshots of earlier versions. */
	readonly isStartConfirmed?: boolean;
	readonly givenUp?: GiveUpReason;
	/** Absent if none of a schedule is done, and from snapshots of earlier versions, which keep the tasks of all of them. */
	readonly doneOccurrences?: SavedDoneOccurrences;
	/** Tasks that had at least one run, without those of done occurrences; `undefined` once the job has ended and has no runs left. */
	readonly tasks: readonly SavedTask[] | undefined;
};

type SavedLedger = {
	readonly format: 1;
	readonly term: number;
	readonly document: string | undefined;
	readonly jobs: readonly SavedJob[];
	readonly minions: readonly MinionRecord[];
	readonly drainingLives: readonly IncarnationId[];
	/** Absent from snapshots of earlier versions. */
	readonly capacitySequences?: ReadonlyArray<readonly [IncarnationId, number]>;
	readonly waves: ReadonlyArray<Omit<MaintenanceWave, 'ordered'> & {readonly ordered: ReadonlyArray<readonly [WorkerId, MaintenanceOrder]>}>;
	readonly workerOrders: ReadonlyArray<readonly [WorkerId, WorkerOrder]>;
	readonly controlHosts: readonly ControlHostRecord[];
	/** Absent from snapshots of earlier versions. */
	readonly crashes?: readonly MinionCrash[];
	/** The incarnations that may hold a lease which a call for an earlier one granted, and the minions that ended. Absent from snapshots of earlier versions. */
	readonly foreignLeaseLives?: readonly IncarnationId[];
	readonly endedMinions?: readonly MinionId[];
	/** Absent from snapshots of earlier versions. */
	readonly uncertainStarts?: readonly UncertainStart[];
	readonly assignmentCount?: number;
	/** Absent if there are none, and from snapshots of earlier versions. */
	readonly startsUnderWay?: readonly StartUnderWay[];
	/** Absent if there are none, and from snapshots of earlier versions. */
	readonly earlyCancels?: ReadonlyArray<readonly [JobId, readonly JobCaller[]]>;
};

const saveTask = ({id, runs, lastRunNumber, lapsedRuns, failures, losses, checkpoint, isDone}: Task): SavedTask => ({
	id, runs, lastRunNumber, lapsedRuns, failures, checkpoint, isDone, ...(losses.length > 0 && {losses}),
});

const saveJob = (job: Job): SavedJob => {
	const {chainMs: _, status, endedAtMs, hasStarted, isStartConfirmed, givenUp, isReleased: hasEnded, occurrences: __, doneOccurrences, runCount: ___, ...accepted} = job;
	return {
		job: accepted,
		status,
		endedAtMs,
		hasStarted,
		isStartConfirmed,
		...(givenUp !== undefined && {givenUp}),
		...(!hasEnded && countDoneOccurrences(doneOccurrences) > 0 && {doneOccurrences: saveDoneOccurrences(doneOccurrences)}),
		tasks: hasEnded ? undefined : listTasks(job).filter(task => task.lastRunNumber > 0).map(task => saveTask(task)),
	};
};

/** Serialises the ledger. */
export function createLedgerSnapshot(ledger: Ledger): string {
	const saved: SavedLedger = {
		format: 1,
		term: ledger.term,
		document: ledger.configuration?.document,
		jobs: [...ledger.jobs.values()].map(job => saveJob(job)),
		minions: [...ledger.incarnations.values()].map(({record}) => record),
		drainingLives: [...ledger.incarnations.values()].filter(({isDraining}) => isDraining).map(({record}) => record.life),
		capacitySequences: [...ledger.incarnations.values()].flatMap(({record, capacitySequence}) => capacitySequence === undefined ? [] : [[record.life, capacitySequence] as const]),
		waves: [...ledger.waves.values()].map(wave => ({...wave, ordered: [...wave.ordered]})),
		workerOrders: [...ledger.workerOrders],
		controlHosts: [...ledger.controlHosts.values()],
		crashes: ledger.crashes,
		foreignLeaseLives: [...ledger.incarnations.values()].filter(({mayHoldForeignLease}) => mayHoldForeignLease).map(({record}) => record.life),
		endedMinions: [...ledger.endedMinions],
		uncertainStarts: [...ledger.uncertainStarts.values()],
		assignmentCount: ledger.assignmentCount,
		...(ledger.startsUnderWay.size > 0 && {startsUnderWay: [...ledger.startsUnderWay.values()].flat()}),
		...(ledger.earlyCancels.size > 0 && {earlyCancels: [...ledger.earlyCancels]}),
	};
	return JSON.stringify(saved);
}

const restoreTask = (ledger: Ledger, job: Job, {id, runs, ...saved}: SavedTask) => {
	const parts = parseTaskId(id);
	if (parts !== undefined) {
		getOrCreateOccurrence(job, parts.occurrence);
	}

	const initial = findTask(ledger, id);
	if (initial !== undefined) {
		let task = replaceTask(ledger, initial, saved);
		for (const run of runs) {
			task = addRun(ledger, task, run);
		}

		for (const {number, life} of task.lapsedRuns) {
			ledger.incarnations.get(life)?.lapsed.set(id, number);
		}
	}
};

// Without the field: what the entries of earlier versions confirm.
const restoreStartConfirmed = ({isStartConfirmed, tasks = []}: SavedJob): boolean => isStartConfirmed ?? tasks.some(({isDone, failures}) => isDone || failures > 0);

const restoreJob = (ledger: Ledger, saved: SavedJob) => {
	const {job: accepted, tasks} = saved;
	const job: Job = {
		...accepted, chainMs: estimateChainMs(accepted.specification), status: saved.status, endedAtMs: saved.endedAtMs, hasStarted: saved.hasStarted, isStartConfirmed: restoreStartConfirmed(saved), givenUp: saved.givenUp, isReleased: tasks === undefined, occurrences: new Map(), doneOccurrences: createDoneOccurrences(saved.doneOccurrences), runCount: 0,
	};
	ledger.jobs.set(job.id, job);
	if (job.status === 'active') {
		ledger.activeJobs.add(job);
	}

	if (tasks === undefined) {
		ledger.storedBytes += releasedJobBytes;
		return;
	}

	ledger.storedBytes += estimateJobBytes(job.specification);
	if (job.specification.schedule === undefined) {
		getOrCreateOccurrence(job, 0);
	}

	if (job.status === 'active') {
		indexJob(ledger.index, job);
	}

	for (const task of tasks) {
		restoreTask(ledger, job, task);
	}

	// Snapshots of earlier versions keep the tasks of done occurrences.
	for (const occurrence of job.occurrences.keys()) {
		dropTasksIfOver(ledger, {job, occurrence});
	}

	if (job.status !== 'active' && job.runCount > 0) {
		unindexJob(ledger.index, job);
	}
};

/**
 * Restores a ledger.
 *
 * @param text - The output of `createLedgerSnapshot`, possibly of another host.
 */
export function restoreLedger(text: string, parse: ParseConfiguration): Ledger {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- written by createLedgerSnapshot and protected by the log's checksums
	const saved = JSON.parse(text) as SavedLedger;
	const ledger = createLedger();
	ledger.term = saved.term;
	if (saved.document !== undefined) {
		replaceConfiguration(ledger, saved.document, parse);
	}

	for (const record of saved.minions) {
		ledger.incarnations.set(record.life, createIncarnationUsage(record));
	}

	for (const [life, sequence] of saved.capacitySequences ?? []) {
		const usage = ledger.incarnations.get(life);
		if (usage !== undefined) {
			usage.capacitySequence = sequence;
		}
	}

	for (const life of saved.foreignLeaseLives ?? []) {
		const usage = ledger.incarnations.get(life);
		if (usage !== undefined) {
			usage.mayHoldForeignLease = true;
		}
	}

	for (const minion of saved.endedMinions ?? []) {
		ledger.endedMinions.add(minion);
	}

	for (const life of saved.drainingLives) {
		recordMinionDraining(ledger, life);
	}

	for (const job of saved.jobs) {
		restoreJob(ledger, job);
	}

	for (const wave of saved.waves) {
		ledger.waves.set(wave.wave, {...wave, ordered: new Map(wave.ordered)});
	}

	for (const [worker, order] of saved.workerOrders) {
		ledger.workerOrders.set(worker, order);
	}

	ledger.assignmentCount = saved.assignmentCount ?? 0;
	for (const start of saved.uncertainStarts ?? []) {
		ledger.uncertainStarts.set(createRunKey(start), start);
	}

	recordStartsUnderWay(ledger, saved.startsUnderWay ?? []);
	ledger.crashes = saved.crashes ?? [];
	for (const [id, callers] of saved.earlyCancels ?? []) {
		ledger.earlyCancels.set(id, callers);
	}

	for (const record of saved.controlHosts) {
		ledger.controlHosts.set(record.node, record);
	}

	return ledger;
}

/** Lists the ended jobs that have no runs left. */
export function listReleasedJobs(ledger: Ledger): readonly Job[] {
	return [...ledger.jobs.values()].filter(({endedAtMs, runCount}) => endedAtMs !== undefined && runCount === 0);
}
