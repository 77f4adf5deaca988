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
