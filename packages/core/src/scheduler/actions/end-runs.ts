import {maximumLapsedRuns} from '../constants.js';
import {
	endJob, findTask, getStep, getStepProgress, isLateRunEnd, dropTasksIfEnded, removeRun, replaceTask,
} from '../ledger.js';
import type {
	Job, Ledger, LedgerOutcome, RunEnd, RunEnding, Task, TaskRun,
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

const applyEnding = (ledger: Ledger, task: Task, {ending, atMs}: {readonly ending: RunEnding; readonly atMs: number}) => {
	if (ending === 'done' && !getStep(task).isLasting) {
		markDone(ledger, task, atMs);
	} else if (ending === 'failed') {
		markFailed(ledger, task, atMs);
	}
};

// The run was given up, but the minion reports how it ended before its lease ran out. What is done is not
// done again, and a failure is an attempt.
const applyLateEnd = (ledger: Ledger, found: Task, {end, atMs}: {readonly end: RunEnd; readonly atMs: number}): boolean => {
	if (!isLateRunEnd(found, end)) {
		return false;
	}

	const task = replaceTask(ledger, found, {lapsedRuns: found.lapsedRuns.filter(({number}) => number !== end.run)});
	ledger.incarnations.get(end.life)?.lapsed.delete(end.task);
	applyEnding(ledger, task, {ending: end.ending, atMs});
	return true;
};

const recordLapse = (ledger: Ledger, before: Task, run: TaskRun): Task => {
	ledger.incarnations.get(run.life)?.lapsed.set(before.id, run.number);
	return replaceTask(ledger, before, {lapsedRuns: [...before.lapsedRuns, run].slice(-maximumLapsedRuns)});
};

const endRun = (ledger: Ledger, {end, atMs}: {readonly end: RunEnd; readonly atMs: number}): boolean => {
	const found = findTask(ledger, end.task);
	const run = found?.runs.find(({number, life}) => number === end.run && life === end.life);
	if (found === undefined || run === undefined) {
		return found !== undefined && applyLateEnd(ledger, found, {end, atMs});
	}

	const ended = removeRun(ledger, found, run);
	const saved = end.checkpoint === '' ? ended : replaceTask(ledger, ended, {checkpoint: end.checkpoint});
	const task = end.ending === 'lapsed' ? recordLapse(ledger, saved, run) : saved;

	applyEnding(ledger, task, {ending: end.ending, atMs});
	dropTasksIfEnded(ledger, task.job);
	return true;
};

/**
 * Takes note of the ends of runs. An end of a run that is neither assigned to that minion nor was given
 * up there is void: it was noted before.
 *
 * @param ledger - The ledger.
 * @param change - The ends, and the Unix time.
 * @returns Whether anything changed.
 */
export function endRuns(ledger: Ledger, {ends, atMs}: {readonly ends: readonly RunEnd[]; readonly atMs: number}): LedgerOutcome {
	const changed = ends.filter(end => endRun(ledger, {end, atMs}));
	return {type: changed.length > 0 ? 'applied' : 'ignored'};
}
