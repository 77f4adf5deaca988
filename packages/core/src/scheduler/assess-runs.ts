/**
 * Detects stalled and straggling runs, and slow minions. The submitter's estimates are too rough to tell such a run
 * from a long one, so a run is compared with its own progress and with the other tasks of its step.
 */
import {
	minimumAssessmentMs, previousSlownessWeight, restartCostMs, suspectSlowness, stallTimeoutMs, stragglerFactor, suspicionMs,
} from './constants.js';

/** The recent speed of a minion. */
export type MinionSpeed = {
	/** Moving average of how long its runs take relative to those of other minions; 1 is normal, 2 is twice as long. */
	readonly slowness: number;
	/** When a run on it was last assessed, as monotonic time in milliseconds. */
	readonly assessedAtMs: number;
};

/** The speed of a minion before any run on it was assessed. */
export const initialMinionSpeed: MinionSpeed = {slowness: 1, assessedAtMs: Number.NEGATIVE_INFINITY};

/** The progress of a run in its minion's latest listing. */
export type RunProgress = {
	/** How long the run had run when it was listed. */
	readonly elapsedMs: number;
	/** The share of its work that was done, from 0 to 100. */
	readonly percent: number;
	/** How long listings have shown no progress. */
	readonly unchangedMs: number;
};

const completePercent = 100;

/** Predicts the total duration of a run at its current speed; `undefined` while too little is known. */
export function predictTotalMs({elapsedMs, percent}: RunProgress): number | undefined {
	return percent <= 0 || elapsedMs < minimumAssessmentMs ? undefined : elapsedMs * completePercent / percent;
}

/**
 * Returns whether the assessment of a run can tell anything. A run that is too young to be predicted and shows progress is
 * sound whatever its peers do, and tells nothing of its minion.
 */
export function isAssessable(progress: RunProgress): boolean {
	return progress.unchangedMs >= stallTimeoutMs || predictTotalMs(progress) !== undefined;
}

const getMedian = (values: readonly number[]): number | undefined => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)];

/** The result of assessing a run; `sound` if nothing is wrong. */
export type RunVerdict = 'sound' | 'stalled' | 'straggling';

/** A verdict on a run, and its speed relative to its peers. */
export type RunAssessment = {
	readonly verdict: RunVerdict;
	/** Its predicted duration divided by the median of its peers; `undefined` without peers or prediction. */
	readonly slowness: number | undefined;
};

/**
 * Assesses a run. A run is straggling if a new run on another minion would probably finish earlier.
 *
 * @param peersMs - The actual or predicted durations of other tasks of the step on other minions.
 */
export function assessRun(progress: RunProgress, peersMs: readonly number[]): RunAssessment {
	const totalMs = predictTotalMs(progress);
	const medianMs = getMedian(peersMs);
	const slowness = totalMs === undefined || medianMs === undefined || medianMs <= 0 ? undefined : totalMs / medianMs;
	if (progress.unchangedMs >= stallTimeoutMs && progress.percent < completePercent) {
		return {verdict: 'stalled', slowness};
	}

	const remainingMs = (totalMs ?? 0) - progress.elapsedMs;
	const isStraggling = slowness !== undefined && slowness >= stragglerFactor && remainingMs > (medianMs ?? 0) + restartCostMs;
	return {verdict: isStraggling ? 'straggling' : 'sound', slowness};
}

/**
 * Updates a minion's speed with the slowness of one run relative to its peers.
 *
 * @param sample - The slowness, and the monotonic time in milliseconds.
 */
export function recordSlowness(speed: MinionSpeed, {slowness, nowMs}: {readonly slowness: number; readonly nowMs: number}): MinionSpeed {
	return {slowness: (speed.slowness * previousSlownessWeight) + (slowness * (1 - previousSlownessWeight)), assessedAtMs: nowMs};
}

/**
 * Returns whether a minion should get work only if no other has capacity. The suspicion expires, since a minion
 * without work can't show that it has recovered.
 *
 * @param nowMs - The monotonic time in milliseconds.
 */
export function isSuspectedSlow({slowness, assessedAtMs}: MinionSpeed, nowMs: number): boolean {
	return slowness > suspectSlowness && nowMs - assessedAtMs < suspicionMs;
}
