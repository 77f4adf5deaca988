/**
 * Keeps since when each long-running task has waited for a start. Such a task should run all the time, so a long wait
 * beside free capacity is a fault.
 */
import type {TimerService} from '@samphiremill/common';
import {
	findTask, getPoolIndex, getStep, type Ledger, type Task, type TaskId,
} from '@samphiremill/core';

/** A long-running task that does not run. */
export type WaitingTask = {
	readonly task: Task;
	/** How long this leader has known the task to wait, in milliseconds. */
	readonly waitMs: number;
};

/** The waiting long-running tasks of one leader. */
export type WaitingTasks = {
	/** Takes over from the ledger which tasks wait. A wait begins with the first call that finds the task waiting. */
	readonly refresh: () => void;
	/** Records that a minion refused the start of the task, which begins its wait unless it waits already. */
	readonly recordRefused: (task: TaskId) => void;
	/** Records that a minion has started the task, which ends its wait. An assignment alone does not: the minion may refuse it. */
	readonly recordStarted: (task: TaskId) => void;
	/** Returns how long a task has waited since its last run, in milliseconds; 0 if it was not waiting at the last refresh. */
	readonly getWaitMs: (task: Task) => number;
	/** Lists the waiting tasks, those that have waited longest first. */
	readonly list: () => readonly WaitingTask[];
};

// Most pools have no waiting long-running task, and their many other ready steps need not be looked at.
const listLongRunningWaiting = ({index, configuration}: Ledger): readonly Task[] => (configuration?.pools ?? [])
	.map(({pool}) => getPoolIndex(index, pool))
	.filter(({workload}) => workload.waitingLongRunningCount > 0)
	.flatMap(({ready}) => [...ready])
	.filter(({specification}) => specification.isLasting)
	.flatMap(({progress}) => progress.tasks.filter(({isDone, runs}) => !isDone && runs.length === 0));

/** Creates the record of a new leader, which has not seen any task wait yet. */
export function createWaitingTasks({timers, getLedger}: {readonly timers: TimerService; readonly getLedger: () => Ledger}): WaitingTasks {
	const sinceMsByTask = new Map<TaskId, number>();

	const beginWait = (id: TaskId) => {
		if (!sinceMsByTask.has(id)) {
			sinceMsByTask.set(id, timers.getNow());
		}
	};

	const getWaitMs = (id: TaskId) => timers.getNow() - (sinceMsByTask.get(id) ?? timers.getNow());

	return {
		refresh() {
			for (const id of sinceMsByTask.keys()) {
				if (findTask(getLedger(), id)?.job.status !== 'active') {
					sinceMsByTask.delete(id);
				}
			}

			for (const {id} of listLongRunningWaiting(getLedger())) {
				beginWait(id);
			}
		},
		recordRefused(id) {
			const task = findTask(getLedger(), id);
			if (task !== undefined && getStep(task).isLasting) {
				beginWait(id);
			}
		},
		recordStarted(id) {
			sinceMsByTask.delete(id);
		},
		getWaitMs: ({id}) => getWaitMs(id),
		list: () => [...sinceMsByTask.keys()]
			.map(id => findTask(getLedger(), id))
			.filter(task => task !== undefined)
			.map(task => ({task, waitMs: getWaitMs(task.id)}))
			.toSorted((left, right) => right.waitMs - left.waitMs),
	};
}
