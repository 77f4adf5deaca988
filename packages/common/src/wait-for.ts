import type {CancelTimer, TimerService} from './timer-service.js';

/** Resolves after the delay in milliseconds. */
export async function waitFor(timers: TimerService, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		timers.scheduleOnce(delayMs, resolve);
	});
}

/**
 * Resolves once the promise has settled, or after the delay in milliseconds. The timer does not outlast the promise.
 *
 * @throws What the promise is rejected with before the delay has passed.
 */
export async function waitAtMost(timers: TimerService, delayMs: number, promise: Promise<unknown>): Promise<void> {
	let cancelTimer: CancelTimer = () => undefined;
	const delay = new Promise<void>(resolve => {
		cancelTimer = timers.scheduleOnce(delayMs, resolve);
	});
	try {
		await Promise.race([promise, delay]);
	} finally {
		cancelTimer();
	}
}
