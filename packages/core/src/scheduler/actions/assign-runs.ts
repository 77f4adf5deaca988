import {
	addRun, findAssignableTask, findTask, getStep, getStepProgress, removeRun,
} from '../ledger.js';
import {findAssignmentLimit} from '../run-limits.js';
import {recordUncertainStarts} from '../uncertain-starts.js';
import {recordJobStarted} from '../work-index.js';
import type {
	Ledger, LedgerOutcome, AssignmentRefusal, RefusedAssignment, RunAssignment, RunsAssignedCommand, StepProgress, Task,
} from '../types.js';

const maximumCopies = 2;

/** An assignment of a task whose job still has its tasks. */
type Candidate = {
	readonly assignment: RunAssignment;
	readonly task: Task;
};

type AssignmentCheck = (ledger: Ledger, candidate: Candidate) => AssignmentRefusal | undefined;

const findOutdatedReason: AssignmentCheck = (ledger, {assignment: {run, life}, task}) => {
	if (task.job.status !== 'active') {
		return 'jobEnded';
	}

	if (task.isDone) {
		return 'taskDone';
	}

	if (task.runs.length >= (getStep(task).allowsCopies ? maximumCopies : 1)) {
		return 'copies';
	}

	if (run <= task.lastRunNumber) {
		return 'runNumber';
	}

	return ledger.incarnations.has(life) ? undefined : 'minionLeft';
};

const findAssignmentRefusal: AssignmentCheck = (ledger, candidate) => {
	const outdated = findOutdatedReason(ledger, candidate);
	const usage = ledger.incarnations.get(candidate.assignment.life);
	return outdated ?? (usage && findAssignmentLimit(ledger, candidate.task, usage));
};

// The members of a gang that are assigned together form one group; any other assignment is a group of its own.
const groupGangs = (ledger: Ledger, runs: readonly RunAssignment[]): ReadonlyArray<readonly RunAssignment[]> => {
	const gangs = new Map<StepProgress, RunAssignment[]>();
	const groups: RunAssignment[][] = [];
	for (const assignment of runs) {
		const task = findAssignableTask(ledger, assignment.task);
		const progress = task && getStep(task).isGang ? getStepProgress(task) : undefined;
		const gang = progress && gangs.get(progress);
		if (gang !== undefined) {
			gang.push(assignment);
			continue;
		}

		const group = [assignment];
		groups.push(group);
		if (progress !== undefined) {
			gangs.set(progress, group);
		}
	}

	return groups;
};

type GroupResult = {
	readonly assigned: readonly RunAssignment[];
	readonly refused: readonly RefusedAssignment[];
};

const assignEach = (ledger: Ledger, runs: readonly RunAssignment[], findReason: AssignmentCheck): GroupResult => {
	const assigned: RunAssignment[] = [];
	const refused: RefusedAssignment[] = [];
	for (const assignment of runs) {
		const task = findAssignableTask(ledger, assignment.task);
		const reason = task === undefined ? 'jobEnded' : findReason(ledger, {assignment, task});
		if (task !== undefined && reason === undefined) {
			addRun(ledger, task, {number: assignment.run, life: assignment.life});
			assigned.push(assignment);
		} else {
			refused.push({...assignment, reason: reason ?? 'jobEnded'});
		}
	}

	return {assigned, refused};
};

const withdraw = (ledger: Ledger, {task: id, run, life}: RunAssignment) => {
	const task = findTask(ledger, id);
	if (task !== undefined) {
		removeRun(ledger, task, {number: run, life});
	}
};

// A gang of which a member is missing would only hold its minions until it is given up.
const assignTogether = (ledger: Ledger, runs: readonly RunAssignment[]): GroupResult => {
	const {assigned, refused} = assignEach(ledger, runs, findAssignmentRefusal);
	if (refused.length === 0) {
		return {assigned, refused};
	}

	for (const assignment of assigned) {
		withdraw(ledger, assignment);
	}

	return {assigned: [], refused: [...refused, ...assigned.map((assignment): RefusedAssignment => ({...assignment, reason: 'gang'}))]};
};

const assignWithinLimits = (ledger: Ledger, runs: readonly RunAssignment[]): GroupResult => {
	const results = groupGangs(ledger, runs).map(group => assignTogether(ledger, group));
	return {assigned: results.flatMap(({assigned}) => assigned), refused: results.flatMap(({refused}) => refused)};
};

/**
 * Records which incarnation of a minion gets which run, before the minion is told to start it. Since the leader's decision a job may have been
 * cancelled, or a minion may have left, shrunk or been filled; what a plan chose on such a view is refused here.
 *
 * @returns The assignments that took effect, and the refused ones with their reasons.
 */
export function assignRuns(ledger: Ledger, {runs, keepsLimits}: Pick<RunsAssignedCommand, 'runs' | 'keepsLimits'>): LedgerOutcome {
	const {assigned, refused} = keepsLimits ? assignWithinLimits(ledger, runs) : assignEach(ledger, runs, findOutdatedReason);
	recordUncertainStarts(ledger, assigned);
	for (const {task: id} of assigned) {
		const task = findTask(ledger, id);
		if (task !== undefined) {
			task.job.hasStarted = true;
			recordJobStarted(ledger.index, task.job);
		}
	}

	return {type: 'assigned', runs: assigned, refused};
}
