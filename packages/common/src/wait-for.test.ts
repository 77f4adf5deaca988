import {expect, test} from 'vitest';
import {createVirtualTimerService} from './virtual-timer-service.js';
import type {TimerService} from './timer-service.js';
import {waitAtMost, waitFor} from './wait-for.js';

/** Counts the timers that are neither cancelled nor over. */
const createCountingTimers = () => {
	const timers = createVirtualTimerService();
	const live = new Set<symbol>();
	const counting: TimerService = {
		...timers,
		scheduleOnce(delayMs, callback) {
			const key = Symbol('timer');
			live.add(key);
			const cancel = timers.scheduleOnce(delayMs, () => {
				live.delete(key);
				callback();
			});
			return () => {
				live.delete(key);
				cancel();
			};
		},
	};
	return {timers, counting, countLive: () => live.size};
};

test('a wait for a promise that resolves leaves no timer behind', async () => {
	const {counting, countLive} = createCountingTimers();
	const waits = Array.from({length: 300}, async () => waitAtMost(counting, Promise.resolve(), 700));
	expect(countLive()).toBe(300);
	await Promise.all(waits);
	expect(countLive()).toBe(0);
});

test('a wait for a promise that rejects rejects, and leaves no timer behind', async () => {
	const {counting, countLive} = createCountingTimers();
	await expect(waitAtMost(counting, Promise.reject(new Error('lost')), 700)).rejects.toThrow('lost');
	expect(countLive()).toBe(0);
});

test('a wait ends after its limit', async () => {
	const {timers, counting} = createCountingTimers();
	let isOver = false;
	const wait = waitAtMost(counting, waitFor(timers, 10_000), 700).then(() => {
		isOver = true;
	});
	timers.advance(699);
	await Promise.resolve();
	expect(isOver).toBe(false);
	timers.advance(1);
	await wait;
	expect(isOver).toBe(true);
});
