/**
 * Bounds the starts that are under way on one minion. Thousands at once would take the leader's time with their calls and retries, and
 * no caller would be answered in the meantime.
 */
import {maximumGangTasks} from '@samphiremill/core';
import type {TrackedRun} from './tracked-run.js';

/** Most starts under way on a minion; a gang of the largest size must be able to start on an idle one. */
export const maximumPendingStarts = maximumGangTasks;

/** With up to this many runs, which is more than nearly all minions have, those that have started are not told apart. */
const fewRuns = 64;

/** Returns how many more starts may be sent to a minion before others are confirmed. */
export function countStartsLeft(trackedRuns: ReadonlyMap<string, Pick<TrackedRun, 'startedAtMs'>>): number {
	if (trackedRuns.size <= fewRuns) {
		return maximumPendingStarts - trackedRuns.size;
	}

	let pendingCount = 0;
	for (const {startedAtMs} of trackedRuns.values()) {
		pendingCount += Number(startedAtMs === undefined);
	}

	return Math.max(0, maximumPendingStarts - pendingCount);
}
