/**
 * The leader's state of one run on a minion.
 */
import type {RunAssignment, RunEnding, TaskId} from '@samphiremill/core';

/** The state of the start and stop orders of a run. */
export type RunPhase = 'unsent' | 'starting' | 'running' | 'stopping';

/** A read-only view of a tracked run. */
export type RunView = {
	readonly task: TaskId;
	readonly run: number;
	readonly phase: RunPhase;
	readonly startedAtMs: number | undefined;
	/** When a listing first showed the run at 100 percent; undefined while it is below. */
	readonly servingSinceMs: number | undefined;
	/** Progress of the run; for a long-running task, 100 once it serves at full pace. */
	readonly percent: number;
	/** When the run was last listed, and when a listing last showed more progress. */
	readonly listedAtMs: number | undefined;
	readonly progressedAtMs: number | undefined;
	readonly gauge: number;
	readonly pacePercent: number;
};

/** The mutable state that a session keeps of one run. Times are on the monotonic clock. */
export type TrackedRun = {
	readonly assignment: RunAssignment;
	phase: RunPhase;
	isStopRequested: boolean;
	/** Whether an earlier leader may have sent the start order. */
	readonly isInherited: boolean;
	/** Whether the task runs until it is stopped; `undefined` until the task is first looked up. */
	isLasting: boolean | undefined;
	/** Whether a start order was sent and not answered, so that the minion may still execute it. */
	mayStartLate: boolean;
	/** Whether this incarnation has certainly started the run: it answered by its own clock, and no other order is under way. */
	isStartCertain: boolean;
	/** When the latest start order without an answer timed out. */
	unansweredAtMs: number | undefined;
	/** How many start orders of the run got no answer. */
	unansweredCount: number;
	startedAtMs: number | undefined;
	/** A listing that was requested after this time must include the run. */
	listingExpectedFromMs: number | undefined;
	stopAckedAtMs: number | undefined;
	/** The ending to record if the run is stopped and no listing shows its end; `stopped` if undefined. */
	endingIfUnlisted: RunEnding | undefined;
	servingSinceMs: number | undefined;
	percent: number;
	listedAtMs: number | undefined;
	progressedAtMs: number | undefined;
	gauge: number;
	pacePercent: number;
	/** Whether the minion certainly has this pace. A listing does not show it, and an earlier leader may have changed it. */
	isPaceKnown: boolean;
	/** Until when an earlier pace call without an answer may still be carried out, after the later ones. */
	paceUnsettledUntilMs: number;
};

/** The pace of a run that is not throttled, in percent. */
export const fullPacePercent = 100;

/** Creates the initial state of an assigned run. */
export function createTrackedRun(assignment: RunAssignment, {isInherited}: {readonly isInherited: boolean}): TrackedRun {
	return {
		assignment,
		phase: 'unsent',
		isStopRequested: false,
		isInherited,
		isLasting: undefined,
		mayStartLate: false,
		isStartCertain: false,
		unansweredAtMs: undefined,
		unansweredCount: 0,
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
		isPaceKnown: !isInherited,
		paceUnsettledUntilMs: 0,
	};
}

export function toRunView({assignment, phase, startedAtMs, servingSinceMs, percent, listedAtMs, progressedAtMs, gauge, pacePercent}: TrackedRun): RunView {
	return {
		task: assignment.task, run: assignment.run, phase, startedAtMs, servingSinceMs, percent, listedAtMs, progressedAtMs, gauge, pacePercent,
	};
}

/** Returns whether the start order of the run may have reached another incarnation of the minion than the one it was sent to. */
export function hasUncertainStart({phase, isInherited, listedAtMs, mayStartLate}: TrackedRun): boolean {
	const mayHaveBeenSent = isInherited || phase !== 'unsent';
	return mayHaveBeenSent && (listedAtMs === undefined || mayStartLate);
}
