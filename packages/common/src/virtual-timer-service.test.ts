import {expect, test} from 'vitest';
import {createVirtualTimerService} from './virtual-timer-service.js';

test('callbacks run in order of their due times, and a periodic one repeats until it is cancelled', () => {
	const timers = createVirtualTimerService();
	const calls: string[] = [];
	timers.scheduleOnce(15, () => {
		calls.push(`once ${timers.getNow()}`);
	});
	const cancel = timers.scheduleEvery(10, () => {
		calls.push(`every ${timers.getNow()}`);
	});
	timers.advance(25);
	cancel();
	timers.advance(100);
	expect(calls).toEqual(['every 10', 'once 15', 'every 20']);
	expect(timers.getNow()).toBe(125);
});
