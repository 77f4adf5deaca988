/**
 * Load pattern: maintenance waves in a pool with long-running tasks, around a change of leader, and with tasks that wait
 * for capacity that only a worker of the wave has.
 */
import type {JobId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import type {StructuredLogger} from '../runtime/types.js';
import {createTestWorld, type TestWorld} from './test-world.js';

const settleMs = 1500;
// A long-running task must run again within 6 s.
const startLimitMs = 6000;
const sampleMs = 100;
const request = {cpuMillicores: 4000, memoryMb: 512, gpus: 0};

// Returns the longest time for which fewer tasks of the job ran than the given count.
const measureLongestGapMs = async (world: TestWorld, {id, count, durationMs}: {readonly id: JobId; readonly count: number; readonly durationMs: number}) => {
	let longestMs = 0;
	let gapMs = 0;
	for (let passedMs = 0; passedMs < durationMs; passedMs += sampleMs) {
		await world.advance(sampleMs); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
		gapMs = world.countRuns(id) < count ? gapMs + sampleMs : 0;
		longestMs = Math.max(longestMs, gapMs);
	}

	return longestMs;
};

// One worker is switched off while it is idle and comes back, the spare worker joins, and a third one leaves for good. So
// two workers of the wave remain, and no move can help.
const startWithoutSpareWorkers = async (seed: number, {size = request, log}: {readonly size?: typeof request; readonly log?: StructuredLogger} = {}) => {
	const world = createTestWorld({
		seed, minionCount: 2, standbyWorkers: 1, ...(log && {log}),
	});
	await world.advance(settleMs);
	const {id} = world.submit([{count: 3, isLasting: true, maximumPerMinion: 1}]);
	await world.advance(9000);
	expect(world.countRuns(id)).toBe(3);
	world.leaveUnconfirmed(0, 0);
	void world.cancel(id);
	const serving = world.submit([{
		count: 2, isLasting: true, disruptionBudget: 1, request: size,
	}]);
	await world.advance(1000);
	expect(world.countRuns(serving.id)).toBe(2);
	return {world, id: serving.id};
};

test.each([41, 42, 43])('a task starts on a worker whose draining waits for this task to serve (seed %i)', async seed => {
	const {world, id} = await startWithoutSpareWorkers(seed);
	world.leaveUnconfirmed(0, 1000);
	void world.startWave(1, 1);
	expect(await measureLongestGapMs(world, {id, count: 2, durationMs: 30_000})).toBeLessThan(startLimitMs);
	expect(world.listViolations()).toEqual([]);
});

test('no task is stopped for the maintenance of a worker that the budget of another task on it keeps in use', async () => {
	const {world, id} = await startWithoutSpareWorkers(44, {size: {cpuMillicores: 3000, memoryMb: 512, gpus: 0}});
	// The third of these tasks fits nowhere, so that none of them may be stopped.
	const blocked = world.submit([{
		count: 3, isLasting: true, disruptionBudget: 1, request: {cpuMillicores: 5000, memoryMb: 512, gpus: 0},
	}]);
	await world.advance(1000);
	expect(world.countRuns(blocked.id)).toBe(2);
	const startCount = world.countStarts();
	void world.startWave(1, 1);
	expect(await measureLongestGapMs(world, {id, count: 2, durationMs: 30_000})).toBe(0);
	expect(world.countStarts()).toBe(startCount);
	expect(world.listViolations()).toEqual([]);
});

test('a task that was stopped for maintenance starts again on its worker once another task has taken the capacity elsewhere', async () => {
	const messages: string[] = [];
	const record = (message: string) => {
		messages.push(message);
	};

	const log = {
		debug: record, info: record, warn: record, error: record,
	};
	const {world, id} = await startWithoutSpareWorkers(44, {size: {cpuMillicores: 3000, memoryMb: 512, gpus: 0}, log});
	// One of these tasks is on each worker, and never lets it be drained.
	for (const _ of [1, 2]) {
		world.submit([{isLasting: true, disruptionBudget: 0, request: {cpuMillicores: 1000, memoryMb: 512, gpus: 0}}]);
		await world.advance(1000); // eslint-disable-line no-await-in-loop -- each task takes the minion with the most free capacity
	}

	const startCount = world.countStarts();
	void world.startWave(1, 1);
	const isStopSent = () => messages.some(message => message.includes('due for maintenance'));
	for (let passedMs = 0; !isStopSent() && passedMs < settleMs; passedMs += 5) {
		await world.advance(5); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
	}

	expect(isStopSent()).toBe(true);
	const later = world.submit([{isLasting: true, request: {cpuMillicores: 4000, memoryMb: 512, gpus: 0}}]);
	const longestGapMs = await measureLongestGapMs(world, {id, count: 2, durationMs: 30_000});
	expect(world.countRuns(later.id)).toBe(1);
	expect(world.countStarts()).toBeGreaterThan(startCount + 1);
	expect(longestGapMs).toBeGreaterThan(1000);
	expect(longestGapMs).toBeLessThan(startLimitMs);
	expect(world.listViolations()).toEqual([]);
});

test.each([0, 200, 400, 800])('a wave whose confirmations are lost around a change of leader is completed (phase %i ms)', async phaseMs => {
	const world = createTestWorld({seed: 45, minionCount: 3, standbyWorkers: 1});
	await world.advance(settleMs);
	const {id} = world.submit([{
		count: 3, isLasting: true, disruptionBudget: 1, request,
	}]);
	await world.advance(3000);
	void world.startWave(3, 2);
	await world.advance(20);
	world.dropCommands(['wave/workerBegun', 'batch'], 2500);
	await world.advance(phaseMs);
	await world.changeLeader();
	await world.advance(20_000);
	expect(await world.isWaveCompleted()).toBe(true);
	await world.advance(startLimitMs);
	expect(world.countRuns(id)).toBe(3);
	expect(world.listViolations()).toEqual([]);
});

test('a wave does not stop a long-running task again and again that can start nowhere else', async () => {
	const world = createTestWorld({seed: 8, minionCount: 2, hasWorkerOrders: true});
	await world.advance(600);
	world.submit([{
		count: 2, isLasting: true, maximumPerMinion: 1, request,
	}]);
	const {id} = world.submit([{
		count: 2, isLasting: true, disruptionBudget: 1, request: {cpuMillicores: 1000, memoryMb: 512, gpus: 0},
	}]);
	await world.advance(3000);
	world.leaveUnconfirmed(0, 100);
	await world.advance(50);
	void world.startWave(2, 1);
	let missingSeconds = 0;
	for (let second = 0; second < 60; second += 1) {
		await world.advance(1000); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
		missingSeconds += 2 - world.countRuns(id);
	}

	expect(world.listOverdueTasks()).toEqual([]);
	// A task may wait once for as long as any: 6 s and the 3 s after them.
	expect(missingSeconds).toBeLessThan(9);
});

test('a wave in a pool without spare capacity stops each task once, and ends in its time', async () => {
	const world = createTestWorld({seed: 9, minionCount: 3, hasWorkerOrders: true});
	await world.advance(600);
	const {id} = world.submit([{
		count: 3, isLasting: true, disruptionBudget: 1, maximumPerMinion: 1, request,
	}]);
	await world.advance(3000);
	expect(world.countRuns(id)).toBe(3);
	const startCount = world.countStarts();
	void world.startWave(3, 3);
	await world.advance(20_000);
	expect(await world.isWaveCompleted()).toBe(true);
	await world.advance(startLimitMs);
	expect(world.countRuns(id)).toBe(3);
	expect(world.countStarts()).toBe(startCount + 3);
	expect(world.listViolations()).toEqual([]);
});

test('a worker that is switched off after its maintenance does not hold up its wave', async () => {
	const world = createTestWorld({seed: 10, minionCount: 6, hasWorkerOrders: true});
	await world.advance(600);
	const {id} = world.submit([{
		count: 6, isLasting: true, disruptionBudget: 1, maximumPerMinion: 2, request: {cpuMillicores: 2000, memoryMb: 512, gpus: 0},
	}]);
	await world.advance(3000);
	expect(world.countRuns(id)).toBe(6);
	void world.startWave(6, 2);
	await world.advance(20_000);
	expect(world.listMoves().length).toBeGreaterThan(0);
	expect(await world.isWaveCompleted()).toBe(true);
	await world.advance(startLimitMs);
	expect(world.countRuns(id)).toBe(6);
	expect(world.listViolations()).toEqual([]);
});
