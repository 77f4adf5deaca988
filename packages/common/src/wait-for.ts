import type {TimerService} from './timer-service.js';

/** Resolves after the delay in milliseconds. */
export async function waitFor(timers: TimerService, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		timers.scheduleOnce(delayMs, resolve);
	});
}

/**
 * Resolves once the promise has resolved, or after the limit in milliseconds if that is earlier. Leaves no timer behind: one for
 * each of hundreds of calls a second would run long after its call.
 */
export async function waitAtMost(timers: TimerService, promise: Promise<unknown>, limitMs: number): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const cancel = timers.scheduleOnce(limitMs, resolve);
		promise.then(() => {
			cancel();
			resolve();
		}, (err: unknown) => {
			cancel();
			reject(err instanceof Error ? err : new Error(String(err)));
		});
	});
}
