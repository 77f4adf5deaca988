/**
 * Tells runs that stand still or crawl, and minions that are slow, from work that is only long. The
 * submitter's estimates are too rough for that: a run is compared with its own progress and with the
 * other tasks of its step.
 */
import {
	minimumAssessmentMs, previousSlownessWeight, restartCostMs, suspectSlowness, stallTimeoutMs, stragglerFactor, suspicionMs,
} from './constants.js';

/** How fast a minion has been of late. */
export type MinionSpeed = {
	/** What its runs took against those of other minions, the newest counting most. */
	readonly slowness: number;
	/** When it was last judged, on the monotonic clock. */
	readonly assessedAtMs: number;
};

/** A minion of which nothing is known. */
export const initialMinionSpeed: MinionSpeed = {slowness: 1, assessedAtMs: Number.NEGATIVE_INFINITY};

/** A run as it was last listed. */
export type RunProgress = {
	/** How long it had run when it was listed. */
	readonly elapsedMs: number;
	/** How much of its work was done then. */
	readonly percent: number;
	/** For how long listings have shown no progress. */
	readonly unchangedMs: number;
};

const completePercent = 100;

/**
 * @param progress - A run.
 * @returns How long it will take in all at its present speed; nothing while too little is known.
 */
export function predictTotalMs({elapsedMs, percent}: RunProgress): number | undefined {
	return percent <= 0 || elapsedMs < minimumAssessmentMs ? undefined : elapsedMs * completePercent / percent;
}

const getMedian = (values: readonly number[]): number | undefined => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)];

/** What is wrong with a run. */
export type RunVerdict = 'sound' | 'stalled' | 'straggling';

/** A verdict, and how the run compares with its peers. */
export type RunAssessment = {
	readonly verdict: RunVerdict;
	/** Its length over the median of its peers; absent without peers. */
	readonly slowness: number | undefined;
};

/**
 * Judges a run.
 *
 * @param progress - The run.
 * @param peersMs - What other tasks of its step took, or will take, on other minions.
 * @returns The verdict. A straggler is one that a fresh run elsewhere would probably overtake.
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
 * @param speed - What was known.
 * @param sample - How a run compared with its peers, and the monotonic time.
 * @returns What is known now.
 */
export function recordSlowness(speed: MinionSpeed, {slowness, nowMs}: {readonly slowness: number; readonly nowMs: number}): MinionSpeed {
	return {slowness: (speed.slowness * previousSlownessWeight) + (slowness * (1 - previousSlownessWeight)), assessedAtMs: nowMs};
}

/**
 * @param pace - What is known.
 * @param nowMs - The monotonic time.
 * @returns Whether the minion is to get work only where no other has room. The suspicion ends by itself,
 * since a minion without work can't show that it is well again.
 */
export function isSuspectedSlow({slowness, assessedAtMs: judgedAtMs}: MinionSpeed, nowMs: number): boolean {
	return slowness > suspectSlowness && nowMs - judgedAtMs < suspicionMs;
}
