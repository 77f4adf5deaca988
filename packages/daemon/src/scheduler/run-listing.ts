/**
 * What a minion's list of its runs says of the runs that the leader ordered there.
 */
import type {RunEnd} from '@samphiremill/core';
import {fullPacePercent, type TrackedRun} from './run-control.js';
import {createRunEnd} from './run-orders.js';
import type {HoldReport, RunningEntry} from './types.js';

/** A minion lists at most so many ends at once. */
const maximumListedEnds = 500;

/**
 * Notes that a run is listed as running.
 *
 * @param control - What is kept of the run.
 * @param entry - What the list says of it.
 * @param nowMs - The present monotonic time.
 */
export function recordListedRun(control: TrackedRun, {percent, gauge}: RunningEntry, nowMs: number): void {
	if (control.phase === 'starting' || control.phase === 'unsent') {
		control.phase = 'running';
	}

	control.startedAtMs ??= nowMs;
	if (percent > control.percent || control.listedAtMs === undefined) {
		control.progressedAtMs = nowMs;
	}

	control.listedAtMs = nowMs;
	control.percent = percent;
	control.gauge = gauge;
	if (percent >= fullPacePercent) {
		control.servingSinceMs ??= nowMs;
	} else {
		control.servingSinceMs = undefined;
	}
}

/**
 * @param controls - What is kept of the runs there.
 * @param report - The lists.
 * @param sentAtMs - When they were asked for, on the monotonic clock.
 * @returns The ends of runs that must be listed and are not: those that were stopped, and those that ran and lapsed.
 */
export function inferMissingEnds(controls: Iterable<TrackedRun>, report: HoldReport, sentAtMs: number): readonly RunEnd[] {
	if (report.finished.length >= maximumListedEnds) {
		return [];
	}

	const listed = new Set<string>([...report.running, ...report.finished].map(({task, run}) => `${task}/${run}`));
	return [...controls].flatMap(({assignment, stopAckedAtMs, listingExpectedFromMs: listedFromMs, phase, endingIfUnlisted: endingWithoutListing}) => {
		if (listed.has(`${assignment.task}/${assignment.run}`)) {
			return [];
		}

		if (stopAckedAtMs !== undefined && stopAckedAtMs < sentAtMs) {
			return [createRunEnd(assignment, endingWithoutListing ?? 'stopped')];
		}

		return phase === 'running' && listedFromMs !== undefined && listedFromMs < sentAtMs
			? [createRunEnd(assignment, 'lapsed')]
			: [];
	});
}
