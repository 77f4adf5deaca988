import {expect, test} from 'vitest';
import {createTestNetwork, type TestNode} from './test-network.js';

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
