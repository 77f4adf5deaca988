import type {TimerService} from './timer-service.js';

/**
 * @param timers - The time.
 * @param delayMs - How long to wait, in milliseconds.
 */
export async function waitFor(timers: TimerService, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		timers.scheduleOnce(delayMs, resolve);
	});
}
