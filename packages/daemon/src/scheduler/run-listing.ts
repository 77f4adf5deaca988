/**
 * Applies a minion's listing of its runs to the leader's tracked runs.
 */
import type {
	RunAssignment, RunEnd, RunEnding, TaskId,
} from '@samphiremill/core';
import {fullPacePercent, type TrackedRun} from './tracked-run.js';
import {createRunEnd} from './run-orders.js';
import type {HoldReport, RunningEntry} from './types.js';

/** The maximum number of ended runs that a minion lists at once. */
const maximumListedEnds = 500;

/**
 * Records that a run is listed as running.
 *
 * @param nowMs - The current time on the monotonic clock.
 */
export function recordListedRun(trackedRun: TrackedRun, {percent, gauge}: RunningEntry, nowMs: number): void {
	if (trackedRun.phase === 'starting' || trackedRun.phase === 'unsent') {
		trackedRun.phase = 'running';
	}

	trackedRun.startedAtMs ??= nowMs;
	if (percent > trackedRun.percent || trackedRun.listedAtMs === undefined) {
		trackedRun.progressedAtMs = nowMs;
	}

	trackedRun.listedAtMs = nowMs;
	trackedRun.percent = percent;
	trackedRun.gauge = gauge;
	if (percent >= fullPacePercent) {
		trackedRun.servingSinceMs ??= nowMs;
	} else {
		trackedRun.servingSinceMs = undefined;
	}
}

// How a run has ended if the listing, which was requested at `sentAtMs`, does not include it; `undefined` if that tells nothing.
const getEndingIfUnlisted = ({stopAckedAtMs, listingExpectedFromMs, phase, endingIfUnlisted}: TrackedRun, sentAtMs: number): RunEnding | undefined => {
	if (stopAckedAtMs !== undefined && stopAckedAtMs < sentAtMs) {
		return endingIfUnlisted ?? 'stopped';
	}

	return phase === 'running' && listingExpectedFromMs !== undefined && listingExpectedFromMs < sentAtMs ? 'lapsed' : undefined;
};

// Nearly every run is listed as running, and once. Only for the others are the lists searched.
const createListedCheck = ({running, finished}: HoldReport) => {
	const runNumbers = new Map<TaskId, number>();
	for (const {task, run} of running) {
		runNumbers.set(task, run);
	}

	return ({task, run}: RunAssignment): boolean => {
		const isRun = (row: {readonly task: TaskId; readonly run: number}) => row.task === task && row.run === run;
		return runNumbers.get(task) === run || finished.some(row => isRun(row)) || running.some(row => isRun(row));
	};
};

/**
 * Infers the ends of runs that the listing should include and does not: runs that were stopped, and runs that started
 * and lapsed. A listing with the maximum number of ended runs, or with rows that could not be read, may be incomplete,
 * so nothing is inferred from it.
 *
 * @param sentAtMs - When the listing was requested, on the monotonic clock.
 */
export function inferMissingEnds(trackedRuns: Iterable<TrackedRun>, report: HoldReport, sentAtMs: number): readonly RunEnd[] {
	if (report.finished.length >= maximumListedEnds || (report.malformedRows ?? 0) > 0) {
		return [];
	}

	const isListed = createListedCheck(report);
	const ends: RunEnd[] = [];
	for (const trackedRun of trackedRuns) {
		const ending = getEndingIfUnlisted(trackedRun, sentAtMs);
		if (ending !== undefined && !isListed(trackedRun.assignment)) {
			ends.push(createRunEnd(trackedRun.assignment, ending));
		}
	}

	return ends;
}
