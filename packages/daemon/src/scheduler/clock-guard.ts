import {clockJumpThresholdMs} from './constants.js';

/** Detects that the monotonic clock stood still, as during a suspension, or that the time of day jumped. */
export type ClockGuard = {
	/** Returns when the last jump was detected, on the monotonic clock; negative infinity before the first one. */
	readonly check: () => number;
};

/**
 * Creates a guard from the monotonic clock and the time of day, both in milliseconds. Call `check` immediately before
 * each action that relies on a lease.
 */
export function createClockGuard({getNow, getWallClock}: {readonly getNow: () => number; readonly getWallClock: () => number}): ClockGuard {
	let offsetMs = getWallClock() - getNow();
	let jumpedAtMs = Number.NEGATIVE_INFINITY;
	return {
		check() {
			const nowMs = getNow();
			const currentOffsetMs = getWallClock() - nowMs;
			if (Math.abs(currentOffsetMs - offsetMs) > clockJumpThresholdMs) {
				jumpedAtMs = nowMs;
			}

			offsetMs = currentOffsetMs;
			return jumpedAtMs;
		},
	};
}
