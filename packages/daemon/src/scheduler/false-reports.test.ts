import {toBrand, type MinionId, type WorkerId} from '@samphiremill/common';
import type {MinionRecord} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createTestWorld, type TestWorld} from './test-world.js';

const wallClockStartMs = 1_700_000_000_000;

const reportForSeconds = async (world: TestWorld, seconds: number, createChange: () => Partial<MinionRecord>) => {
	for (let count = 0; count < seconds * 2; count += 1) {
		void world.reportFalsely(0, createChange());
		await world.advance(500); // eslint-disable-line no-await-in-loop -- twice a second
	}
};

// Not the start of a minion of the world, which starts at a whole step.
const getWallClock = (world: TestWorld) => wallClockStartMs + world.getNow() + 1;

const falseReports: ReadonlyArray<readonly [string, (world: TestWorld) => Partial<MinionRecord>]> = [
	['names a later start for the same minion', world => ({bornAtMs: Math.floor(getWallClock(world))})],
	['names a start some minutes ahead for the same minion', world => ({bornAtMs: Math.floor(getWallClock(world)) + 300_000})],
	['names an earlier start for the same minion', world => ({bornAtMs: Math.floor(getWallClock(world)) - 100_000})],
	['names another address for the same minion', world => ({bornAtMs: Math.floor(getWallClock(world)), address: '10.9.9.9:80'})],
	['names another minion at its address', world => ({bornAtMs: Math.floor(getWallClock(world)), minion: toBrand<MinionId>('i-odd')})],
	['names another minion on its worker', world => ({bornAtMs: Math.floor(getWallClock(world)), minion: toBrand<MinionId>('i-odd'), address: '10.9.9.9:80'})],
];

test.each(falseReports)('a false report that %s does not replace a minion that answers', async (_, createChange) => {
	const world = createTestWorld({seed: 35, minionCount: 2});
	await world.advance(1500);
	const {id} = world.submit([{count: 4, isLasting: true, maximumPerMinion: 2}]);
	await world.advance(1000);
	const before = {lives: [...world.getLedger().incarnations.keys()], starts: world.countStarts(), runs: world.countRuns(id)};
	expect(before).toMatchObject({starts: 4, runs: 4});
	// Each false report names another incarnation, and in turn the same one again.
	await reportForSeconds(world, 8, () => createChange(world));
	const same = createChange(world);
	await reportForSeconds(world, 8, () => same);
	expect({lives: [...world.getLedger().incarnations.keys()], starts: world.countStarts(), runs: world.countRuns(id)}).toEqual(before);
	const next = world.submit([{count: 4, estimateMs: 300}]);
	await world.advance(3000);
	expect(world.getState(next.id)).toBe('completed');
	expect(world.listViolations()).toEqual([]);
});

test.each(falseReports)('a minion is used although a false report came first that %s', async (_, createChange) => {
	const world = createTestWorld({seed: 36, minionCount: 1});
	await reportForSeconds(world, 0.5, () => createChange(world));
	const same = createChange(world);
	const reporting = reportForSeconds(world, 4, () => same);
	await reporting;
	const {id} = world.submit([{count: 2, estimateMs: 300}]);
	await reportForSeconds(world, 4, () => same);
	expect(world.getState(id)).toBe('completed');
	expect(world.listViolations()).toEqual([]);
});

test('a start far in the future is refused, and one that clocks some minutes apart explain is not', async () => {
	const world = createTestWorld({seed: 37, minionCount: 1});
	await world.advance(1500);
	const lives = [...world.getLedger().incarnations.keys()];
	const change = {minion: toBrand<MinionId>('i-new'), worker: toBrand<WorkerId>('worker-new'), address: '10.9.9.9:80'};
	for (const aheadMs of [700_000, 9_000_000_000_000_000 - getWallClock(world)]) {
		const answer = world.reportFalsely(0, {...change, bornAtMs: Math.floor(getWallClock(world) + aheadMs)});
		await world.advance(500); // eslint-disable-line no-await-in-loop -- one after the other
		expect(await answer).toMatchObject({type: 'invalidRequest'}); // eslint-disable-line no-await-in-loop -- one after the other
	}

	expect([...world.getLedger().incarnations.keys()]).toEqual(lives);
	const answer = world.reportFalsely(0, {...change, bornAtMs: Math.floor(getWallClock(world) + 60_000)});
	await world.advance(500);
	expect(await answer).toEqual({type: 'done'});
});

test.each([-60_000, 60_000])('the next incarnation of a minion whose clock jumped by %i ms is used', async jumpMs => {
	let clockErrorMs = 0;
	const world = createTestWorld({seed: 38, minionCount: 1, getClockError: () => clockErrorMs});
	await world.advance(1500);
	clockErrorMs = jumpMs;
	world.submit([{count: 2, isLasting: true}]);
	await world.advance(1000);
	world.restart(0);
	await world.advance(12_000);
	const {id} = world.submit([{count: 2, estimateMs: 300}]);
	await world.advance(3000);
	expect(world.getState(id)).toBe('completed');
	expect(world.listViolations()).toEqual([]);
});

test('a minion is used although a false report named another address for the same incarnation first', async () => {
	const world = createTestWorld({seed: 39, minionCount: 1});
	void world.reportFalsely(0, {address: '10.9.9.9:80'});
	await world.advance(4000);
	const {id} = world.submit([{count: 2, estimateMs: 300}]);
	await world.advance(4000);
	expect(world.getState(id)).toBe('completed');
	expect(world.listViolations()).toEqual([]);
});

test('a false report that names another address for the incarnation of a minion that answers changes nothing', async () => {
	const world = createTestWorld({seed: 40, minionCount: 1});
	await world.advance(1500);
	const {id} = world.submit([{count: 2, isLasting: true}]);
	await world.advance(1000);
	await reportForSeconds(world, 4, () => ({address: '10.9.9.9:80'}));
	world.silence(0, 1500);
	await reportForSeconds(world, 4, () => ({address: '10.9.9.9:80'}));
	expect({runs: world.countRuns(id), starts: world.countStarts()}).toEqual({runs: 2, starts: 2});
	expect([...world.getLedger().incarnations.values()].map(({record}) => record.address)).toEqual(['10.0.0.1:80']);
	expect(world.listViolations()).toEqual([]);
});
