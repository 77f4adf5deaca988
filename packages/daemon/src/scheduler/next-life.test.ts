import {expect, test} from 'vitest';
import {createTestWorld, type TestWorld} from './test-world.js';

// One minion crashes and begins another life; no connection tells the leader, and a start reaches the new life.
const startInNextLife = async (rebornAtMs: number, isLasting = true) => {
	const world = createTestWorld({seed: 23, minionCount: 4});
	await world.advance(rebornAtMs);
	const [earlier = ''] = world.getLedger().incarnations.keys();
	world.restartUnnoticed(0);
	await world.advance(125);
	world.submit([{count: 6, isLasting, maximumPerMinion: 2}]);
	const isReached = () => world.listRunsByIncarnation().some(run => run.includes('@i-1@') && !run.endsWith(earlier));
	for (let step = 0; step < 20 && !isReached(); step += 1) {
		await world.advance(5); // eslint-disable-line no-await-in-loop -- until it is reached
	}

	expect(isReached()).toBe(true);
	expect(world.listViolations()).toEqual([]);
	return world;
};

const listRunsOn = (world: TestWorld, minion: string) => world.listRunsByIncarnation().filter(run => run.includes(`@${minion}@`));

test.each([7650, 7700, 7900, 8000])('what a start began in the next life of a minion, which is silent then, is not started elsewhere while it runs (%i ms)', async rebornAtMs => {
	const world = await startInNextLife(rebornAtMs);
	world.silence(0, 20_000);
	await world.advance(14_000);
	expect(world.listViolations()).toEqual([]);
});

test.each([7650, 7700, 7900, 8000])('a start that was meant for the last life grants the next one no longer lease than its leader counts on (%i ms)', async rebornAtMs => {
	const world = await startInNextLife(rebornAtMs);
	await world.advance(900);
	world.submit([{count: 4, isLasting: true, maximumPerMinion: 2}]);
	await world.advance(150);
	expect(listRunsOn(world, 'i-1').length).toBeGreaterThan(0);
	world.silence(0, 20_000);
	await world.advance(14_000);
	expect(world.listViolations()).toEqual([]);
});

test.each([7650, 7700, 7900, 8000])('a session that gives way lets no run go that may still be at work in the next life (%i ms)', async rebornAtMs => {
	const world = await startInNextLife(rebornAtMs);
	world.cutFromLeader(0, 20_000);
	await world.advance(14_000);
	expect(world.listViolations()).toEqual([]);
});

test('a task of a minion that leaves, and gets no confirmation, does not start elsewhere while it runs there', async () => {
	const world = createTestWorld({seed: 21, minionCount: 4});
	await world.advance(1500);
	const {id} = world.submit([{count: 3, isLasting: true, maximumPerMinion: 1}]);
	await world.advance(500);
	expect(world.countRuns(id)).toBe(3);
	world.leaveUnconfirmed(0, 2000);
	world.leaveUnconfirmed(1, 2000);
	await world.advance(8000);
	expect(world.listViolations()).toEqual([]);
});

test.each([5500, 6000])('a start whose run was given up and closed in one life is not carried out in the next (silence of %i ms)', async silenceMs => {
	const world = createTestWorld({seed: 24, minionCount: 3});
	world.sendLateOrdersToNextIncarnation();
	await world.advance(1500);
	world.silence(0, silenceMs, 1200);
	world.submit([{count: 3, isLasting: true, maximumPerMinion: 2}]);
	await world.advance(silenceMs + 800);
	world.restart(0);
	await world.advance(8000);
	expect(world.listViolations()).toEqual([]);
});

test('a late copy of a start whose run is done is not carried out in the next life', async () => {
	const world = createTestWorld({seed: 25, minionCount: 1});
	world.sendLateOrdersToNextIncarnation();
	await world.advance(1500);
	world.silence(0, 300, 3000);
	const {id} = world.submit([{count: 1, estimateMs: 500}, {count: 1, dependsOn: [0], isLasting: true}]);
	await world.advance(2000);
	expect(world.countStarts()).toBe(2);
	world.restart(0);
	await world.advance(8000);
	expect(world.listViolations()).toEqual([]);
	expect(world.getState(id)).toBe('active');
});

test('a minion that said it will leave is sent no start later than 2 s after that was confirmed', async () => {
	const world = createTestWorld({seed: 26, minionCount: 2});
	await world.advance(1500);
	world.cutFromLeader(0, 3500);
	world.submit([{count: 2, isLasting: true, maximumPerMinion: 1}]);
	world.drain(0);
	await world.advance(1000);
	const isDraining = [...world.getLedger().incarnations.values()].map(life => life.isDraining);
	await world.advance(2000);
	const before = world.countStartsOn(0);
	await world.advance(1500);
	expect({isDraining, before, after: world.countStartsOn(0)}).toEqual({isDraining: [true, false], before: 0, after: 0});
});

test.each([120, 160, 200, 240])('a session that gives way starts nothing in the next life when the log does not answer its departure in time (%i ms)', async extraMs => {
	const world = createTestWorld({seed: 31, minionCount: 2});
	await world.advance(1500);
	world.delayCommit('runs/assigned', 1500);
	world.submit([{count: 4, isLasting: true, maximumPerMinion: 2}]);
	await world.advance(100);
	world.restart(0);
	await world.advance(1410);
	world.stallLog(5000 + extraMs);
	await world.advance(9000);
	expect(world.listViolations()).toEqual([]);
});

test.each([4800, 5500, 6500])('what ended in the next life of a silent minion is read before it is confirmed (silence of %i ms)', async silenceMs => {
	const world = await startInNextLife(7650, false);
	world.silence(0, silenceMs);
	await world.advance(14_000);
	expect(world.listViolations()).toEqual([]);
});

test.each([4800, 5500, 6500])('what ended in the next life, while the session gave way, is read before it is confirmed (cut of %i ms)', async silenceMs => {
	const world = await startInNextLife(7650, false);
	world.cutFromLeader(0, silenceMs);
	await world.advance(14_000);
	expect(world.listViolations()).toEqual([]);
});
