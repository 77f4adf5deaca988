/**
 * Unix time that goes on evenly from one reading, so that the difference of two such times is not affected by jumps of the time
 * of day. Readings of different hosts, or different terms, differ by the errors of their first ones.
 */
import type {TimerService} from '@samphiremill/common';

/** Returns the time, in milliseconds. */
export type GetSteadyTime = () => number;

/** Reads the time of day once, and returns a clock that goes on from there with the monotonic clock. */
export function createSteadyTime({timers, getWallClock}: {readonly timers: Pick<TimerService, 'getNow'>; readonly getWallClock: () => number}): GetSteadyTime {
	const offsetMs = getWallClock() - timers.getNow();
	return () => timers.getNow() + offsetMs;
}
