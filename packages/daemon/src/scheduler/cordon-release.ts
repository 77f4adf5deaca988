/**
 * Releases cordoned workers that long-running tasks need: a worker may be cordoned for long, for instance because its own
 * long-running tasks can't be stopped until another task of their step serves, and that one finds capacity nowhere else.
 */
import type {TimerService, WorkerId} from '@samphiremill/common';
import type {TaskId} from '@samphiremill/core';
import {cordonReleaseCheckMs, cordonReleaseDelayMs, releasedCordonMs} from './constants.js';

/** The workers that were released. */
export type CordonRelease = {
	/**
	 * Updates the released workers. A worker is released once the same task has waited for it for a time.
	 *
	 * @param cordoned - The workers that are cordoned now and may still be released.
	 */
	readonly update: (cordoned: Iterable<WorkerId>) => void;
	/** Returns the workers that must not be cordoned now. */
	readonly listReleased: () => ReadonlySet<WorkerId>;
};

/**
 * Creates a record without released workers.
 *
 * @param options - `listWaitingTasks` lists the waiting long-running tasks that could start on a worker if it were not
 * cordoned. `onReleased` is called with each worker that is released.
 */
export function createCordonRelease({timers, listWaitingTasks, onReleased}: {
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly listWaitingTasks: (worker: WorkerId) => readonly TaskId[];
	readonly onReleased: (worker: WorkerId, tasks: readonly TaskId[]) => void;
}): CordonRelease {
	const waitingSinceMs = new Map<WorkerId, ReadonlyMap<TaskId, number>>();
	const releasedAtMs = new Map<WorkerId, number>();
	let updatedAtMs = Number.NEGATIVE_INFINITY;

	const dropExpired = (nowMs: number) => {
		for (const [worker, atMs] of releasedAtMs) {
			if (nowMs - atMs >= releasedCordonMs) {
				releasedAtMs.delete(worker);
			}
		}
	};

	const updateWaitingTasks = (worker: WorkerId, nowMs: number) => {
		const known = waitingSinceMs.get(worker);
		const waiting = new Map(listWaitingTasks(worker).map(task => [task, known?.get(task) ?? nowMs]));
		const overdue = [...waiting].filter(([, sinceMs]) => nowMs - sinceMs >= cordonReleaseDelayMs).map(([task]) => task);
		if (overdue.length === 0) {
			waitingSinceMs.set(worker, waiting);
			return;
		}

		waitingSinceMs.delete(worker);
		releasedAtMs.set(worker, nowMs);
		onReleased(worker, overdue);
	};

	return {
		update(cordoned) {
			const nowMs = timers.getNow();
			// Each update makes a plan for each cordoned worker.
			if (nowMs - updatedAtMs < cordonReleaseCheckMs) {
				return;
			}

			updatedAtMs = nowMs;
			dropExpired(nowMs);
			const workers = new Set(cordoned);
			for (const worker of waitingSinceMs.keys()) {
				if (!workers.has(worker)) {
					waitingSinceMs.delete(worker);
				}
			}

			for (const worker of workers) {
				updateWaitingTasks(worker, nowMs);
			}
		},
		listReleased: () => new Set(releasedAtMs.keys()),
	};
}
