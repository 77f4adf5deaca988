/**
 * Applies a minion's listing of its runs to the leader's tracked runs.
 */
import type {RunEnd} from '@samphiremill/core';
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

	const listed = new Set<string>([...report.running, ...report.finished].map(({task, run}) => `${task}/${run}`));
	return [...trackedRuns].flatMap(({assignment, stopAckedAtMs, listingExpectedFromMs, phase, endingIfUnlisted}) => {
		if (listed.has(`${assignment.task}/${assignment.run}`)) {
			return [];
		}

		if (stopAckedAtMs !== undefined && stopAckedAtMs < sentAtMs) {
			return [createRunEnd(assignment, endingIfUnlisted ?? 'stopped')];
		}

		return phase === 'running' && listingExpectedFromMs !== undefined && listingExpectedFromMs < sentAtMs
			? [createRunEnd(assignment, 'lapsed')]
			: [];
	});
}
