import type {MonotonicMs} from './ids.js';

/** Cancels a scheduled callback. */
export type CancelTimer = () => void;

/**
 * The only source of time and timers. Tests pass a virtual one.
 */
export type TimerService = {
	/** Returns the reading of the monotonic clock in milliseconds. */
	readonly getNow: () => MonotonicMs;
	/** Calls the callback once, after the delay in milliseconds. */
	readonly scheduleOnce: (delayMs: number, callback: () => void) => CancelTimer;
	/** Calls the callback once per period in milliseconds, until it is cancelled. */
	readonly scheduleEvery: (periodMs: number, callback: () => void) => CancelTimer;
};
