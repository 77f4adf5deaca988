/**
 * Load pattern: a long-running task is started on a minion that stops answering for good, with the leases of a deployment.
 * A waiting task must run within 6 s of its last run and the 3 s after them.
 */
import type {JobId} from '@samphiremill/common';
import {getInheritedLeaseMs} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {leaderTickPeriodMs} from './constants.js';
import {createTestWorld, type TestWorld} from './test-world.js';

const settleMs = 1500;
const startLimitMs = 9000;
const sampleMs = 20;
const observedMs = 12_000;
const leases = {leaseMs: 3200, longestHoldMs: 6000};

type Loss = 'silence' | 'cutFromLeader' | 'crash' | 'restart' | 'restartUnnoticed';

const lose = (world: TestWorld, loss: Loss) => {
	switch (loss) {
		case 'silence': {
			world.silence(0, 60_000);
			break;
		}

		case 'cutFromLeader': {
			world.cutFromLeader(0, 60_000);
			break;
		}

		case 'crash':
		case 'restart':
		case 'restartUnnoticed': {
			world[loss](0);
			break;
		}
	}
};

// Returns the longest time for which fewer than three tasks of the job ran.
const measureGapMs = async (world: TestWorld, id: JobId) => {
	let gapMs = 0;
	let longestMs = 0;
	for (let passedMs = 0; passedMs < observedMs; passedMs += sampleMs) {
		await world.advance(sampleMs); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
		gapMs = world.countRuns(id) < 3 ? gapMs + sampleMs : 0;
		longestMs = Math.max(longestMs, gapMs);
	}

	return longestMs;
};

// Submits tasks at the given time after the loss of the minion (before it, if negative), one of which is assigned to it, and
// returns the longest time for which fewer tasks than submitted ran.
const measureDelayMs = async (loss: Loss, submittedAfterMs: number) => {
	const world = createTestWorld({seed: 61, minionCount: 3, ...leases});
	await world.advance(settleMs);
	if (submittedAfterMs >= 0) {
		lose(world, loss);
		await world.advance(submittedAfterMs);
	}

	const {id} = world.submit([{count: 3, isLasting: true}]);
	if (submittedAfterMs < 0) {
		await world.advance(-submittedAfterMs);
		lose(world, loss);
	}

	const longestMs = await measureGapMs(world, id);
	expect(world.listViolations()).toEqual([]);
	return longestMs;
};

test.each<Loss>(['silence', 'cutFromLeader', 'crash', 'restart', 'restartUnnoticed'])('a long-running task on a minion that is lost (%s) runs elsewhere in time', async loss => {
	const delays: number[] = [];
	for (let afterMs = -60; afterMs <= 540; afterMs += 60) {
		delays.push(await measureDelayMs(loss, afterMs)); // eslint-disable-line no-await-in-loop -- one simulation at a time
	}

	expect(Math.max(...delays)).toBeLessThan(startLimitMs);
}, 120_000);

// Time in which the leader finds the capacity after the last fault: 4 s until the time is calm, and 3 s of it.
const calmLimitMs = 7000;

test('a task whose start may have reached the next incarnation of its minion, which is lost as well, runs elsewhere in time', async () => {
	const delays: number[] = [];
	for (const silenceMs of [500, 1500, 3000, 5000]) {
		for (const answersMs of [130, 200, 400, 700]) {
			const world = createTestWorld({seed: 62, minionCount: 3, ...leases});
			await world.advance(settleMs); // eslint-disable-line no-await-in-loop -- one simulation at a time
			world.silence(0, silenceMs, 60_000);
			const {id} = world.submit([{count: 3, isLasting: true}]);
			await world.advance(silenceMs); // eslint-disable-line no-await-in-loop -- one simulation at a time
			world.restart(0);
			await world.advance(answersMs); // eslint-disable-line no-await-in-loop -- one simulation at a time
			world.silence(0, 60_000);
			delays.push(await measureGapMs(world, id)); // eslint-disable-line no-await-in-loop -- one simulation at a time
			expect(world.listViolations()).toEqual([]);
		}
	}

	expect(Math.max(...delays)).toBeLessThan(calmLimitMs);
}, 120_000);

test('a task on a lost minion runs elsewhere in time after a change of leader', async () => {
	const delays: number[] = [];
	for (let changeMs = 100; changeMs <= 7000; changeMs += 300) {
		const world = createTestWorld({seed: 63, minionCount: 3, ...leases});
		await world.advance(settleMs); // eslint-disable-line no-await-in-loop -- one simulation at a time
		world.silence(0, 60_000);
		const {id} = world.submit([{count: 3, isLasting: true}]);
		await world.advance(changeMs); // eslint-disable-line no-await-in-loop -- one simulation at a time
		await world.changeLeader(); // eslint-disable-line no-await-in-loop -- one simulation at a time
		delays.push(await measureGapMs(world, id)); // eslint-disable-line no-await-in-loop -- one simulation at a time
		expect(world.listViolations()).toEqual([]);
	}

	expect(Math.max(...delays)).toBeLessThan(calmLimitMs);
}, 120_000);

// Returns how long after the loss of its minion a task has started on another one.
const measureReplacementMs = async ({pauseMs, lostAfterMs}: {readonly pauseMs: number; readonly lostAfterMs: number}) => {
	const world = createTestWorld({seed: 61, minionCount: 3, ...leases});
	await world.advance(settleMs);
	world.submit([{count: 3, isLasting: true}]);
	await world.advance(2000);
	const startCount = world.countStarts();
	world.pauseLeader(pauseMs);
	await world.advance(lostAfterMs);
	world.silence(0, 60_000);
	const lostAtMs = world.getNow();
	while (world.countStarts() === startCount && world.getNow() - lostAtMs < observedMs) {
		await world.advance(sampleMs); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
	}

	expect(world.listViolations()).toEqual([]);
	return world.getNow() - lostAtMs;
};

// A lease that was granted before the loss ends within its length on a slow clock, and is found to be over at the next tick.
const leaseEndMs = Math.ceil(getInheritedLeaseMs(leases.leaseMs)) + leaderTickPeriodMs + sampleMs;

test('a minion that is lost while the leader can not act is granted no other lease afterwards', async () => {
	const delays: number[] = [];
	for (const pauseMs of [1500, 2000, 2500]) {
		for (const lostAfterMs of [300, 500, 700, 1000, 1300]) {
			delays.push(await measureReplacementMs({pauseMs, lostAfterMs})); // eslint-disable-line no-await-in-loop -- one simulation at a time
		}
	}

	expect(delays.filter(delayMs => delayMs > leaseEndMs)).toEqual([]);
}, 120_000);
