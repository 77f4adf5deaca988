import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createTestNetwork, type TestNetwork, type TestNode} from './test-network.js';

const threeVoters: readonly TestNode[] = [
	{name: 'a1', dataCentre: 'a', kind: 'voter'},
	{name: 'b1', dataCentre: 'b', kind: 'voter'},
	{name: 'c1', dataCentre: 'c', kind: 'voter'},
	{name: 'a2', dataCentre: 'a', kind: 'diskless'},
	{name: 'd1', dataCentre: 'd', kind: 'diskless'},
	{name: 'd2', dataCentre: 'd', kind: 'diskless'},
];

test('a sole voter with a disk commits by itself and recovers its log', () => {
	const network = createTestNetwork({nodes: [{name: 'a1', dataCentre: 'a', kind: 'voter'}], seed: 1});
	network.run(200);
	const id = network.propose('a1', 'x');
	network.run(200);
	expect(network.getOutcome(id)).toEqual({type: 'done', index: 3});
	expect(network.getFreshness('a1')).toBe('fresh');
	network.crash('a1');
	network.restart('a1');
	network.run(500);
	expect(network.getApplied('a1')).toEqual(['x']);
});

test('a proposal on any node reaches every node, and a dead leader is replaced', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 2});
	network.run(4000);
	const ids = threeVoters.map(({name}) => network.propose(name, `from ${name}`));
	network.run(1000);
	expect(ids.map(id => network.getOutcome(id)?.type)).toEqual(ids.map(() => 'done'));
	expect(new Set(threeVoters.map(({name}) => network.getApplied(name).join(','))).size).toBe(1);
	expect(threeVoters.map(({name}) => network.getFreshness(name))).toEqual(threeVoters.map(() => 'fresh'));

	const leader = network.getLeader()!;
	network.crash(leader);
	network.run(4000);
	expect(network.getLeader()).not.toBe(leader);
	const id = network.propose('d2', 'after');
	network.run(1000);
	expect(network.getOutcome(id)?.type).toBe('done');
	network.restart(leader);
	network.run(2000);
	expect(network.getApplied(leader).at(-1)).toBe('after');
});

// The old leader's clock is slow and the others' are fast, so that they outrun its view of the silence.
const unevenVoters: readonly TestNode[] = ['a1', 'b1', 'c1'].map((name, index) => ({
	name, dataCentre: name, kind: 'voter', clockRate: index === 0 ? 0.9 : 1.1,
}));

const partitions = {
	'from everyone'(network: TestNetwork) {
		network.isolate(['a1']);
	},
	'from one voter only'(network: TestNetwork) {
		network.cut('a1', 'b1');
		network.cut('b1', 'a1');
	},
};

test.each(['from everyone', 'from one voter only'] as const)('a leader cut off %s never answers a read with older state', cutOff => {
	for (let seed = 1; seed <= 12; seed += 1) {
		const network = createTestNetwork({nodes: unevenVoters, seed});
		network.run(4000);
		network.transferLeadership(network.getLeader() ?? '', 'a1');
		network.run(1500);
		expect(network.getLeader()).toBe('a1');
		partitions[cutOff](network);
		// The network itself checks each answer against what was committed when the read began.
		const reads = Array.from({length: 250}, (_, step) => {
			network.propose('b1', `b${step}`);
			network.run(10);
			return network.read('a1');
		});
		network.heal();
		network.run(3000);
		expect(reads.some(id => network.getOutcome(id)?.type === 'read')).toBe(true);
		expect(network.getApplied('a1').length).toBeGreaterThan(100);
	}
});

test('a planned hand-over takes no longer than a round trip and loses no proposal', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 3});
	network.run(4000);
	const leader = network.getLeader() ?? '';
	const before = Array.from({length: 20}, (_, index) => network.propose('d2', `before ${index}`));
	network.transferLeadership(leader);
	const during = Array.from({length: 20}, (_, index) => network.propose(leader, `during ${index}`));
	network.run(200);
	expect(network.getLeader()).not.toBe(leader);
	network.run(2000);
	expect([...before, ...during].map(id => network.getOutcome(id)?.type)).toEqual(Array.from({length: 40}, () => 'done'));
	expect(network.getApplied('d1').length).toBe(40);
});

test('an emptied disk has no vote until an operator admits it again, and then counts for the quorum', () => {
	const network = createTestNetwork({
		nodes: threeVoters, seed: 4, limits: {snapshotEveryEntries: 20, trailingEntries: 5, maximumChunkLength: 64},
	});
	network.run(4000);
	for (let index = 0; index < 50; index += 1) {
		network.propose('a2', `c${index}`);
	}

	network.run(1000);
	const oldStoreId = network.getStoreId('a1');
	network.wipe('a1');
	network.run(5000);
	expect(network.getState('a1').role).toBe('observer');
	expect(network.getApplied('a1').length).toBe(50);
	network.crash('b1');
	network.run(4000);
	expect(network.getLeader()).toBeUndefined();
	network.restart('b1');
	network.run(4000);
	const voter = {node: toBrand<NodeId>('a1'), storeId: network.getStoreId('a1')!};
	expect(voter.storeId).not.toBe(oldStoreId);
	const change = network.changeVoters('d2', {type: 'add', voter});
	network.run(3000);
	expect(network.getOutcome(change)?.type).toBe('done');
	network.crash('b1');
	network.run(4000);
	const id = network.propose('a2', 'last');
	network.run(1000);
	expect(network.getOutcome(id)?.type).toBe('done');
});

test('without a quorum nothing is acknowledged, and the configuration goes stale within its lease', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 5});
	network.run(4000);
	network.crash('a1');
	network.crash('b1');
	const id = network.propose('c1', 'x');
	network.run(2600);
	expect(['c1', 'a2', 'd1', 'd2'].map(name => network.getFreshness(name))).toEqual(Array.from({length: 4}, () => 'stale'));
	network.restart('d1');
	network.run(3000);
	expect(network.getFreshness('d1')).toBe('starting');
	expect(network.getOutcome(id)?.type).toBe('failed');
	network.restart('a1');
	network.run(5000);
	expect(['c1', 'a2', 'd1', 'd2'].map(name => network.getFreshness(name))).toEqual(Array.from({length: 4}, () => 'fresh'));
});

test('a diskless node that restarts next to a stale peer waits for a quorum before it serves', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 6});
	network.run(4000);
	network.isolate(['d1', 'd2']);
	network.propose('a1', 'withdraw');
	network.run(500);
	network.restart('d2');
	network.run(4000);
	expect(network.getFreshness('d1')).toBe('stale');
	expect(network.getFreshness('d2')).toBe('starting');
	network.heal();
	network.run(6000);
	expect(network.getFreshness('d2')).toBe('fresh');
	expect(network.getApplied('d2')).toEqual(['withdraw']);
});

test('the loss of a leader leaves every configuration fresh, since the lease needs a quorum only', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 7});
	network.run(4000);
	network.crash(network.getLeader() ?? '');
	const others = threeVoters.map(({name}) => name).filter(name => network.getState(name).role !== 'leader');
	for (let step = 0; step < 60; step += 1) {
		network.run(50);
		expect(others.map(name => network.getFreshness(name))).toEqual(others.map(() => 'fresh'));
	}
});

test('a data centre\'s relay is replaced within seconds when it goes silent in one direction', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 8});
	network.run(4000);
	network.cut('d1', 'd2');
	network.run(4000);
	network.propose('a1', 'x');
	network.run(500);
	expect(network.getApplied('d2')).toEqual(['x']);
	network.heal();
	network.run(6000);
	expect(network.getState('d2').feed.upstreamRank).toBe(0);
});

test('a power loss of all voters at any moment loses nothing that was acknowledged', () => {
	for (let pauseMs = 20; pauseMs <= 400; pauseMs += 20) {
		const network = createTestNetwork({nodes: threeVoters, seed: pauseMs, syncMs: {least: 80, most: 160}});
		network.run(6000);
		const ids = ['x', 'y', 'z'].map(command => network.propose(network.getLeader() ?? '', command));
		network.run(pauseMs);
		const acknowledged = ['x', 'y', 'z'].filter((_, place) => network.getOutcome(ids[place]!)?.type === 'done');
		for (const voter of ['a1', 'b1', 'c1']) {
			network.restart(voter);
		}

		network.run(6000);
		expect(network.getApplied('d1')).toEqual(expect.arrayContaining(acknowledged));
		expect(network.getFreshness('d1')).toBe('fresh');
	}
});

test('a node that is fed through a relay over slow links stays fresh without a gap', () => {
	const network = createTestNetwork({nodes: threeVoters, seed: 9, delayMs: {least: 1, most: 120}});
	network.run(6000);
	for (let step = 0; step < 400; step += 1) {
		network.run(50);
		expect(threeVoters.map(({name}) => network.getFreshness(name))).toEqual(threeVoters.map(() => 'fresh'));
	}
});
