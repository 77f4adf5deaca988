import {toBrand, type MonotonicMs} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {leaderTickPeriodMs, longestDutyPauseMs} from './constants.js';
import {createPacedDuty} from './paced-duty.js';

const maximumShare = 0.04;

// Plays a minute of ticks; a tick that is late because of the duty runs at once.
const play = (dutyMs: number) => {
	let nowMs = 0;
	let spentMs = 0;
	let lastEndMs = 0;
	let longestPauseMs = 0;
	const run = createPacedDuty({timers: {getNow: () => toBrand<MonotonicMs>(nowMs)}, maximumShare});
	const duty = () => {
		longestPauseMs = Math.max(longestPauseMs, nowMs - lastEndMs);
		nowMs += dutyMs;
		spentMs += dutyMs;
		lastEndMs = nowMs;
	};

	for (let dueMs = 0; dueMs < 60_000; dueMs += leaderTickPeriodMs) {
		nowMs = Math.max(nowMs, dueMs);
		run(duty);
	}

	return {share: spentMs / nowMs, longestPauseMs};
};

test('a duty that takes little runs at each tick', () => {
	expect(play(2).longestPauseMs).toBeLessThanOrEqual(leaderTickPeriodMs);
});

test('a duty that takes long leaves the rest of the time to others', () => {
	expect([5, 10, 15].map(dutyMs => play(dutyMs).share <= maximumShare)).toEqual([true, true, true]);
});

test('a process that stood still during the duty does not leave it out for long', () => {
	expect(play(4000).longestPauseMs).toBeLessThanOrEqual(longestDutyPauseMs + leaderTickPeriodMs);
});
