/**
 * What a minion's list of its runs says of the runs that the leader ordered there.
 */
import type {RunEnd} from '@samphiremill/core';
import {fullPacePercent, type TrackedRun} from './tracked-run.js';
import {createRunEnd} from './run-orders.js';
import type {HoldReport, RunningEntry} from './types.js';

/** A minion lists at most so many ends at once. */
const fullListLength = 500;

/**
 * Notes that a run is listed as running.
 *
 * @param trackedRun - What is kept of the run.
 * @param entry - What the list says of it.
 * @param nowMs - The present monotonic time.
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
 * @param trackedRuns - What is kept of the runs there.
 * @param report - The lists.
 * @param sentAtMs - When they were asked for, on the monotonic clock.
 * @returns The ends of runs that must be listed and are not: those that were stopped, and those that ran and lapsed.
 */
export function inferMissingEnds(trackedRuns: Iterable<TrackedRun>, report: HoldReport, sentAtMs: number): readonly RunEnd[] {
	if (report.finished.length >= fullListLength) {
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
