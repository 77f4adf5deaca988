/**
 * What the leader keeps of one run on a minion.
 */
import type {RunAssignment, RunEnding, TaskId} from '@samphiremill/core';

/** How an order stands. */
export type RunPhase = 'unsent' | 'starting' | 'running' | 'stopping';

/** The leader's view of one run. */
export type RunView = {
	readonly task: TaskId;
	readonly run: number;
	readonly phase: RunPhase;
	readonly startedAtMs: number | undefined;
	/** When a listing first showed the run at full work. */
	readonly servingSinceMs: number | undefined;
	/** How much of its work is done; of a lasting task, 100 once it serves at full pace. */
	readonly percent: number;
	/** When it was last listed, and when a listing last showed more progress. */
	readonly listedAtMs: number | undefined;
	readonly progressedAtMs: number | undefined;
	readonly gauge: number;
	readonly pacePercent: number;
};

/** What the session keeps of one run. */
export type TrackedRun = {
	readonly assignment: RunAssignment;
	phase: RunPhase;
	isStopRequested: boolean;
	/** An earlier leader may have sent its start. */
	readonly isInherited: boolean;
	/** A start was sent and got no answer, so it may be carried out later. */
	mayStartLate: boolean;
	startedAtMs: number | undefined;
	/** A listing that was asked for after this moment must name the run. */
	listingExpectedFromMs: number | undefined;
	stopAckedAtMs: number | undefined;
	endingIfUnlisted: RunEnding | undefined;
	servingSinceMs: number | undefined;
	percent: number;
	listedAtMs: number | undefined;
	progressedAtMs: number | undefined;
	gauge: number;
	pacePercent: number;
};

/** The pace of a run that nobody slowed, in percent. */
export const fullPacePercent = 100;

/**
 * @param assignment - A run that was assigned.
 * @param origin - Whether an earlier leader assigned it.
 * @returns What is kept of it at first.
 */
export function createTrackedRun(assignment: RunAssignment, {isInherited}: {readonly isInherited: boolean}): TrackedRun {
	return {
		assignment,
		phase: 'unsent',
		isStopRequested: false,
		isInherited,
		mayStartLate: false,
		startedAtMs: undefined,
		listingExpectedFromMs: undefined,
		stopAckedAtMs: undefined,
		endingIfUnlisted: undefined,
		servingSinceMs: undefined,
		percent: 0,
		listedAtMs: undefined,
		progressedAtMs: undefined,
		gauge: 0,
		pacePercent: fullPacePercent,
	};
}

/**
 * @param control - What is kept of a run.
 * @returns What others may see of it.
 */
export function toRunView({assignment, phase, startedAtMs, servingSinceMs, percent, listedAtMs, progressedAtMs, gauge, pacePercent}: TrackedRun): RunView {
	return {
		task: assignment.task, run: assignment.run, phase, startedAtMs, servingSinceMs, percent, listedAtMs, progressedAtMs, gauge, pacePercent,
	};
}

/**
 * @param control - What is kept of a run.
 * @returns Whether its start may have reached another life of the minion than the one it was meant for.
 */
export function hasUncertainStart({phase, isInherited, listedAtMs, mayStartLate}: TrackedRun): boolean {
	const mayHaveBeenSent = isInherited || phase !== 'unsent';
	return mayHaveBeenSent && (listedAtMs === undefined || mayStartLate);
}
