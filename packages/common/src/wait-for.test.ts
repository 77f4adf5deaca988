import {expect, test} from 'vitest';
import type {TimerService} from './timer-service.js';
import {createVirtualTimerService} from './virtual-timer-service.js';
import {waitAtMost} from './wait-for.js';

const createCountedTimers = () => {
	const timers = createVirtualTimerService();
	let waiting = 0;
	const counted: TimerService = {
		...timers,
		scheduleOnce(delayMs, callback) {
			waiting += 1;
			const cancel = timers.scheduleOnce(delayMs, () => {
				waiting -= 1;
				callback();
			});
			return () => {
				waiting -= 1;
				cancel();
			};
		},
	};
	return {timers, counted, countWaiting: () => waiting};
};

test('no timer waits on after the promise has settled', async () => {
	const {counted, countWaiting} = createCountedTimers();
	await waitAtMost(counted, 700, Promise.resolve());
	expect(countWaiting()).toBe(0);
	await expect(waitAtMost(counted, 700, Promise.reject(new Error('lost')))).rejects.toThrow('lost');
	expect(countWaiting()).toBe(0);
});

test('the wait ends with the delay if the promise does not settle', async () => {
	const {timers, counted} = createCountedTimers();
	let isOver = false;
	const endless = new Promise<void>(resolve => {
		timers.scheduleOnce(1_000_000, resolve);
	});
	const wait = waitAtMost(counted, 700, endless).then(() => {
		isOver = true;
	});
	timers.advance(699);
	await Promise.resolve();
	expect(isOver).toBe(false);
	timers.advance(1);
	await wait;
	expect(isOver).toBe(true);
});
