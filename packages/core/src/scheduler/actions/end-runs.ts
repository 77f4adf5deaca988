import {maximumLapsedRuns} from '../constants.js';
import {
	endJob, findTask, getStep, getStepProgress, isLateRunEnd, dropTasksIfOver, removeRun, replaceTask,
} from '../ledger.js';
import {isJobDone} from '../occurrences.js';
import {forgetArrivedStarts} from '../starts-under-way.js';
import type {
	Ledger, LedgerCommand, LedgerOutcome, RunEnd, RunEnding, Task, TaskRun,
} from '../types.js';
import {forgetLoss, recordPresumedCrash} from './record-crash.js';

const markDone = (ledger: Ledger, task: Task, atMs: number) => {
	const {job} = task;
	job.isStartConfirmed = true;
	const step = getStep(task);
	// A gang completes as a whole: one member that is done completes all of them.
	const members = step.isGang ? getStepProgress(task)?.tasks ?? [task] : [task];
	for (const member of members) {
		if (!member.isDone) {
			replaceTask(ledger, member, {isDone: true});
		}
	}

	if (job.status === 'active' && !step.isLasting && isJobDone(job)) {
		endJob(ledger, job, {status: 'completed', atMs});
	}
};

const markFailed = (ledger: Ledger, before: Task, atMs: number) => {
	const task = replaceTask(ledger, before, {failures: before.failures + 1});
	const {job} = task;
	job.isStartConfirmed = true;
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

// The run was given up: its lease expired, or its start went to an incarnation that is gone. But the minion now reports how it
// has ended. A task that is done is not run again, and a failure counts as an attempt.
const applyLateEnd = (ledger: Ledger, found: Task, {end, atMs}: {readonly end: RunEnd; readonly atMs: number}): boolean => {
	if (!isLateRunEnd(ledger, found, end)) {
		return false;
	}

	const answered = forgetLoss(ledger, found, end.life);
	const task = replaceTask(ledger, answered, {lapsedRuns: answered.lapsedRuns.filter(({number}) => number !== end.run)});
	ledger.incarnations.get(end.life)?.lapsed.delete(end.task);
	forgetArrivedStarts(ledger, [end]);
	applyEnding(ledger, task, {ending: end.ending, atMs});
	dropTasksIfOver(ledger, task);
	return true;
};

const recordLapse = (ledger: Ledger, before: Task, run: TaskRun): Task => {
	ledger.incarnations.get(run.life)?.lapsed.set(before.id, run.number);
	return replaceTask(ledger, before, {lapsedRuns: [...before.lapsedRuns, run].slice(-maximumLapsedRuns)});
};

const isRunning = (ledger: Ledger, {task, run, life}: RunEnd) => ledger.incarnations.get(life)?.runs.get(task) === run;

// A run that failed by itself did not crash its minion.
const clearIfFailed = (ledger: Ledger, task: Task, ending: RunEnding) => ending === 'failed' && task.losses.length > 0 ? replaceTask(ledger, task, {losses: []}) : task;

// The checkpoint of any member is valid for its gang, and all members have to start from the same one.
const saveCheckpoint = (ledger: Ledger, task: Task, checkpoint: string): Task => {
	if (checkpoint === '') {
		return task;
	}

	const others = getStep(task).isGang ? getStepProgress(task)?.tasks ?? [] : [];
	for (const member of others.filter(({id}) => id !== task.id)) {
		replaceTask(ledger, member, {checkpoint});
	}

	return replaceTask(ledger, task, {checkpoint});
};

const endRun = (ledger: Ledger, {end, atMs}: {readonly end: RunEnd; readonly atMs: number}): boolean => {
	const found = findTask(ledger, end.task);
	const run = found?.runs.find(({number, life}) => number === end.run && life === end.life);
	if (found === undefined || run === undefined) {
		return found !== undefined && applyLateEnd(ledger, found, {end, atMs});
	}

	const ended = removeRun(ledger, found, run);
	const saved = saveCheckpoint(ledger, ended, end.checkpoint);
	const task = end.ending === 'lapsed' ? recordLapse(ledger, saved, run) : clearIfFailed(ledger, saved, end.ending);

	applyEnding(ledger, task, {ending: end.ending, atMs});
	dropTasksIfOver(ledger, task);
	return true;
};

/**
 * Applies the ends of runs. Ignores the end of a run that is neither assigned to that incarnation nor among its
 * lapsed runs, since it was applied before.
 *
 * @param change - The ends, the current Unix time in milliseconds, and what is known of the loss of their minion.
 */
export function endRuns(ledger: Ledger, {ends, atMs, loss}: Pick<LedgerCommand & {type: 'runs/ended'}, 'ends' | 'atMs' | 'loss'>): LedgerOutcome {
	const lapsed = ends.find(end => end.ending === 'lapsed' && isRunning(ledger, end));
	if (loss !== undefined && lapsed !== undefined) {
		recordPresumedCrash(ledger, lapsed.life, loss);
	}

	const changed = ends.filter(end => endRun(ledger, {end, atMs}));
	return {type: changed.length > 0 ? 'applied' : 'ignored'};
}
