/**
 * Tells runs that stand still or crawl, and minions that are slow, from work that is only long.
 */
import {
	overdueFactor, overdueMarginMs, paceMemory, slowPace, suspicionMs,
} from './constants.js';

/** How fast a minion has been of late. */
export type MinionPace = {
	/** What runs took against their estimates, the newest counting most. */
	readonly slowness: number;
	/** When it was last judged, on the monotonic clock. */
	readonly judgedAtMs: number;
};

/** A minion of which nothing is known. */
export const unknownPace: MinionPace = {slowness: 1, judgedAtMs: Number.NEGATIVE_INFINITY};

/** A run and what was expected of it. */
export type RunLength = {
	readonly elapsedMs: number;
	readonly estimateMs: number;
};

/**
 * @param length - How long a run has been at work, and its estimate.
 * @returns Whether it takes so long that another minion would probably be done sooner.
 */
export function isOverdue({elapsedMs, estimateMs}: RunLength): boolean {
	return elapsedMs > (estimateMs * overdueFactor) + overdueMarginMs;
}

/**
 * @param pace - What was known.
 * @param sample - A run that ended, or is overdue, and the monotonic time.
 * @returns What is known now.
 */
export function notePace(pace: MinionPace, {elapsedMs, estimateMs, nowMs}: RunLength & {readonly nowMs: number}): MinionPace {
	if (estimateMs <= 0) {
		return pace;
	}

	const ratio = elapsedMs / estimateMs;
	return {slowness: (pace.slowness * paceMemory) + (ratio * (1 - paceMemory)), judgedAtMs: nowMs};
}

/**
 * @param pace - What is known.
 * @param nowMs - The monotonic time.
 * @returns Whether the minion is to get work only where no other has room. The suspicion ends by itself,
 * since a minion without work can't show that it is well again.
 */
export function isSuspectedSlow({slowness, judgedAtMs}: MinionPace, nowMs: number): boolean {
	return slowness > slowPace && nowMs - judgedAtMs < suspicionMs;
}
