import {expect, test} from 'vitest';
import {createClockGuard} from './clock-guard.js';

const createClocks = () => {
	const clocks = {monotonicMs: 1000, wallMs: 1_700_000_000_000};
	const guard = createClockGuard({getNow: () => clocks.monotonicMs, getWallClock: () => clocks.wallMs});
	const pass = (monotonicMs: number, wallMs = monotonicMs) => {
		clocks.monotonicMs += monotonicMs;
		clocks.wallMs += wallMs;
		return guard.check();
	};

	return pass;
};

test('a suspension during which only the time of day advances is detected as a jump', () => {
	const pass = createClocks();
	expect([pass(100), pass(0, 5000), pass(100), pass(100)]).toEqual([Number.NEGATIVE_INFINITY, 1100, 1100, 1100]);
});

test('a backward jump of the time of day is detected, a slow drift in either direction is not', () => {
	const back = createClocks();
	expect([back(100, -4000), back(200)]).toEqual([1100, 1100]);
	const drifting = createClocks();
	expect([drifting(1000, 1020), drifting(1000, 980)]).toEqual([Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY]);
});
