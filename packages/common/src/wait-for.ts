import type {TimerService} from './timer-service.js';

/** Resolves after the delay in milliseconds. */
export async function waitFor(timers: TimerService, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		timers.scheduleOnce(delayMs, resolve);
	});
}
