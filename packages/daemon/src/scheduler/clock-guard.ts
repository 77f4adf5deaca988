import {clockJumpThresholdMs} from './constants.js';

/** Notices that the monotonic clock stood still, as in a suspension, or that the time of day jumped. */
export type ClockGuard = {
	/** @returns When the last jump was noticed, on the monotonic clock; negative infinity before the first. */
	readonly check: () => number;
};

/**
 * @param clocks - The monotonic clock and the time of day, both in milliseconds.
 * @returns The guard. It has to be asked right before any right is used.
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
