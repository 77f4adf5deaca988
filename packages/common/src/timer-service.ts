import type {MonotonicMs} from './ids.js';

/** Ends a subscription to the timer service. */
export type CancelTimer = () => void;

/**
 * The one source of time. Parts subscribe to it; tests pass a virtual one.
 */
export type TimerService = {
	/** @returns Milliseconds on the monotonic clock. */
	readonly getNow: () => MonotonicMs;
	/** Calls back once after the delay in milliseconds. */
	readonly scheduleOnce: (delayMs: number, callback: () => void) => CancelTimer;
	/** Calls back every period in milliseconds until cancelled. */
	readonly scheduleEvery: (periodMs: number, callback: () => void) => CancelTimer;
};
