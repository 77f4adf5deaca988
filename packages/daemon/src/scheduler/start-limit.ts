/**
 * Bounds the starts that are under way on one minion. Thousands at once would take the leader's time with their calls and retries, and
 * no caller would be answered in the meantime.
 */
import {maximumGangTasks} from '@samphiremill/core';
import type {TrackedRun} from './tracked-run.js';

/** Most starts under way on a minion; a gang of the largest size must be able to start on an idle one. */
export const maximumPendingStarts = maximumGangTasks;

type TrackedStarts = ReadonlyMap<string, Pick<TrackedRun, 'startedAtMs'>>;

/** With up to this many runs, which is more than nearly all minions have, those that have started are not told apart. */
const fewRuns = 64;

/** Most ends that a minion lists. Those after them are not seen before others are acknowledged, and neither are the tasks that end done. */
const maximumListedEnds = 500;

const countPendingLeft = (trackedRuns: TrackedStarts): number => {
	if (trackedRuns.size <= fewRuns) {
		return maximumPendingStarts - trackedRuns.size;
	}

	let pendingCount = 0;
	for (const {startedAtMs} of trackedRuns.values()) {
		pendingCount += Number(startedAtMs === undefined);
	}

	return Math.max(0, maximumPendingStarts - pendingCount);
};

/**
 * Returns how many more starts may be sent to a minion before others are confirmed.
 *
 * @param unacknowledgedEnds - How many ends the minion lists while they can't be acknowledged; 0 if they can.
 */
export function countStartsLeft(trackedRuns: TrackedStarts, unacknowledgedEnds: number): number {
	const pendingLeft = countPendingLeft(trackedRuns);
	return unacknowledgedEnds === 0 ? pendingLeft : Math.max(0, Math.min(pendingLeft, maximumListedEnds - unacknowledgedEnds - trackedRuns.size));
}
