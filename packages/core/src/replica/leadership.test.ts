import {expect, test} from 'vitest';
import {createTestNetwork, type TestNetwork, type TestNode} from './test-network.js';

const voterNames = ['a1', 'b1', 'c1'];
const threeVoters: readonly TestNode[] = voterNames.map(name => ({name, dataCentre: name, kind: 'voter'}));

const startNetwork = (options: Partial<Parameters<typeof createTestNetwork>[0]> = {}) => {
	const network = createTestNetwork({nodes: threeVoters, seed: 35, ...options});
	network.run(4000);
	const leader = network.getLeader() ?? '';
	return {network, leader, others: voterNames.filter(name => name !== leader)};
};

const waitForLease = (network: TestNetwork, {names, durationMs}: {readonly names: readonly string[]; readonly durationMs: number}) => {
	const untilMs = network.getNowMs() + durationMs;
	while (network.getNowMs() < untilMs && !names.some(name => network.hasLeaderLease(name))) {
		network.run(10);
	}

	return names.some(name => network.hasLeaderLease(name));
};

test('after a transfer that its target does not take, some host soon leads with a lease again', () => {
	const {network, leader, others: [first = '']} = startNetwork();
	network.cut(leader, first);
	network.transferLeadership(leader, first);
	expect(network.hasLeaderLease(leader)).toBe(false);
	expect(waitForLease(network, {names: voterNames, durationMs: 5000})).toBe(true);
});

test('a sole voter that gives way leads the next term', () => {
	const network = createTestNetwork({nodes: threeVoters.slice(0, 1), seed: 35});
	network.run(500);
	const {term} = network.getState('a1');
	network.giveWay('a1');
	network.run(500);
	expect(network.getState('a1').term).toBe(term + 1);
	expect(network.hasLeaderLease('a1')).toBe(true);
});

test('a leader gives way when a majority syncs nothing, so that callers are refused at once', () => {
	const {network, leader, others} = startNetwork();
	for (const name of others) {
		network.fillDisk(name);
	}

	network.propose(leader, 'x');
	network.run(4000);
	expect(network.getLeader()).toBeUndefined();
	const {term} = network.getState(leader);
	network.run(20_000);
	expect(network.getState(leader).term).toBe(term);
});

test('a leader whose answers always come later than its lease gives way', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 35, delayMs: {least: 400, most: 450}});
	let heldSinceMs = 0;
	let longestMs = 0;
	let known = '';
	while (network.getNowMs() < 40_000) {
		network.run(10);
		const leader = network.getLeader() ?? '';
		const held = `${leader} in ${network.getState(leader === '' ? 'a1' : leader).term}`;
		heldSinceMs = held === known && leader !== '' ? heldSinceMs : network.getNowMs();
		known = held;
		longestMs = Math.max(longestMs, network.getNowMs() - heldSinceMs);
		expect(voterNames.some(name => network.hasLeaderLease(name))).toBe(false);
	}

	expect(longestMs).toBeGreaterThan(1000);
	expect(longestMs).toBeLessThan(3000);
});

test('a leader with slow disks keeps its lead under load', () => {
	const {network, leader} = startNetwork({syncMs: {least: 120, most: 200}});
	const {term} = network.getState(leader);
	const ids = Array.from({length: 300}, (_, index) => {
		network.run(100);
		return network.propose(leader, `c${index}`);
	});
	network.run(2000);
	expect(ids.map(id => network.getOutcome(id)?.type)).toEqual(ids.map(() => 'done'));
	expect(network.getState(leader)).toMatchObject({role: 'leader', term});
});

test('a leader keeps its lead while the voter that it needs for a majority receives a large snapshot', () => {
	const {network, leader, others: [first = '', second = '']} = startNetwork({
		limits: {snapshotEveryEntries: 20, trailingEntries: 5, maximumChunkLength: 16},
	});
	network.isolate([first]);
	for (let index = 0; index < 100; index += 1) {
		network.propose(leader, `${index}`.padStart(100, 'x'));
	}

	network.run(2000);
	const {term} = network.getState(leader);
	network.heal();
	network.crash(second);
	network.propose(leader, 'last');
	network.run(4500);
	expect(network.getState(first).incomingSnapshot).toBeDefined();
	network.run(10_000);
	expect(network.getApplied(first).at(-1)).toBe('last');
	expect(network.getState(leader)).toMatchObject({role: 'leader', term});
});

test('a sole voter keeps its lead while its disk hangs, since nobody else can lead', () => {
	const network = createTestNetwork({nodes: threeVoters.slice(0, 1), seed: 35});
	network.run(1000);
	const {term} = network.getState('a1');
	network.fillDisk('a1');
	network.propose('a1', 'x');
	network.run(30_000);
	expect(network.getState('a1')).toMatchObject({role: 'leader', term});
	expect(network.hasLeaderLease('a1')).toBe(true);
});
