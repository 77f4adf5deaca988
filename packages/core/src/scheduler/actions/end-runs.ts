import {
	endJob, findTask, getStep, getStepProgress, releaseTasks, removeRun, replaceTask,
} from '../ledger.js';
import type {
	Job, Ledger, LedgerOutcome, RunEnd, Task,
} from '../types.js';

const isCompleted = (job: Job) =>
	job.occurrences.every(({steps}) => steps.every(({doneCount, tasks}) => doneCount === tasks.length));

const markDone = (ledger: Ledger, task: Task, atMs: number) => {
	const {job} = task;
	const step = getStep(task);
	// One end of a gang's run stands for all its members.
	const members = step.isGang ? getStepProgress(task)?.tasks ?? [task] : [task];
	for (const member of members) {
		if (!member.isDone) {
			replaceTask(ledger, member, {isDone: true});
		}
	}

	if (job.status === 'active' && !step.isLasting && isCompleted(job)) {
		endJob(ledger, job, {status: 'completed', atMs});
	}
};

const markFailed = (ledger: Ledger, before: Task, atMs: number) => {
	const task = replaceTask(ledger, before, {failures: before.failures + 1});
	const {job} = task;
	if (job.status === 'active' && !getStep(task).isLasting && !task.isDone && task.failures >= job.maximumAttempts) {
		endJob(ledger, job, {status: 'failed', atMs});
	}
};

const endRun = (ledger: Ledger, {end, atMs}: {readonly end: RunEnd; readonly atMs: number}): boolean => {
	const found = findTask(ledger, end.task);
	const run = found?.runs.find(({number, life}) => number === end.run && life === end.life);
	if (found === undefined || run === undefined) {
		return false;
	}

	const ended = removeRun(ledger, found, run);
	const task = end.checkpoint === '' ? ended : replaceTask(ledger, ended, {checkpoint: end.checkpoint});

	if (end.ending === 'done' && !getStep(task).isLasting) {
		markDone(ledger, task, atMs);
	} else if (end.ending === 'failed') {
		markFailed(ledger, task, atMs);
	}

	releaseTasks(ledger, task.job);
	return true;
};

/**
 * Takes note of the ends of runs. An end of a run that is not assigned to that minion is void: it was
 * noted before, or given up as lapsed.
 *
 * @param ledger - The ledger.
 * @param change - The ends, and the Unix time.
 * @returns Whether anything changed.
 */
export function endRuns(ledger: Ledger, {ends, atMs}: {readonly ends: readonly RunEnd[]; readonly atMs: number}): LedgerOutcome {
	const changed = ends.filter(end => endRun(ledger, {end, atMs}));
	return {type: changed.length > 0 ? 'applied' : 'ignored'};
}
