import {addRun, findTask, getStep} from '../ledger.js';
import {recordJobStarted} from '../work-index.js';
import type {
	Ledger, LedgerOutcome, RunAssignment, Task,
} from '../types.js';

const maximumCopies = 2;

const isAssignable = (ledger: Ledger, task: Task, {run, life}: RunAssignment) => {
	const maximumRuns = getStep(task).allowsCopies ? maximumCopies : 1;
	return task.job.status === 'active'
		&& !task.isDone
		&& task.runs.length < maximumRuns
		&& run > task.lastRunNumber
		&& ledger.incarnations.has(life);
};

/**
 * Notes which minion gets which run, before any of them is told to start it.
 *
 * @param ledger - The ledger.
 * @param runs - What the leader decided.
 * @returns The runs that took effect. A job may have been cancelled since, or a minion may have left.
 */
export function assignRuns(ledger: Ledger, runs: readonly RunAssignment[]): LedgerOutcome {
	const assigned: RunAssignment[] = [];
	for (const assignment of runs) {
		const task = findTask(ledger, assignment.task);
		if (task !== undefined && isAssignable(ledger, task, assignment)) {
			addRun(ledger, task, {number: assignment.run, life: assignment.life});
			task.job.hasStarted = true;
			recordJobStarted(ledger.index, task.job);
			assigned.push(assignment);
		}
	}

	return {type: 'assigned', runs: assigned};
}
