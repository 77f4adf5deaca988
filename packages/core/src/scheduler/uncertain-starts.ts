/**
 * The runs of which a later leader must not assume that their incarnation started them. A start order that is not confirmed may be carried
 * out by the next incarnation of its minion, and then grants it the longest lease. The leader says with commands that are committed
 * anyway which starts are certain by now.
 */
import {toBrand} from '@samphiremill/common';
import type {
	Ledger, RunAssignment, RunKey, StartReport,
} from './types.js';

/** Returns the key of a run. */
export function createRunKey({task, run}: Pick<RunAssignment, 'task' | 'run'>): RunKey {
	return toBrand<RunKey>(`${task}#${run}`);
}

/** Records the runs that a command has assigned. */
export function recordUncertainStarts(ledger: Ledger, runs: readonly RunAssignment[]): void {
	if (runs.length === 0) {
		return;
	}

	ledger.assignmentCount += 1;
	for (const {task, run, life} of runs) {
		ledger.uncertainStarts.set(createRunKey({task, run}), {
			task, run, life, assignment: ledger.assignmentCount,
		});
	}
}

/** Applies what the leader says of the starts. A run that was assigned after what it knew stays uncertain. */
export function applyStartReport({uncertainStarts}: Ledger, {upTo, uncertain}: StartReport): void {
	const left = new Set(uncertain);
	for (const [key, {assignment}] of uncertainStarts) {
		if (assignment > upTo) {
			return;
		}

		if (!left.has(key)) {
			uncertainStarts.delete(key);
		}
	}
}
