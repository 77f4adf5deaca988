import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createTestNetwork, type TestNetwork, type TestNode} from './test-network.js';

const voterNames = ['a1', 'b1', 'c1'];
const nodes: readonly TestNode[] = [
	...voterNames.map((name): TestNode => ({name, dataCentre: name, kind: 'voter'})),
	{name: 'd1', dataCentre: 'd', kind: 'diskless'},
];

const createNetwork = (seed: number) => {
	const network = createTestNetwork({nodes, seed, limits: {snapshotEveryEntries: 50, trailingEntries: 20}});
	network.run(4000);
	return network;
};

// Proposes a command each 50 ms, and returns how many of them were committed within 1 s of the end.
const countCommits = (network: TestNetwork, durationMs: number) => {
	const ids = Array.from({length: durationMs / 50}, (_, index) => {
		network.run(50);
		return network.propose('d1', `at ${network.getNowMs()} (${index})`);
	});
	network.run(1000);
	return ids.filter(id => network.getOutcome(id)?.type === 'done').length;
};

test('a control host whose disk was full once votes again, so that the next loss is borne', () => {
	for (const [seed, full, lost] of [[11, 'a1', 'b1'], [12, 'b1', 'c1'], [13, 'c1', 'a1'], [14, 'b1', 'a1']] as const) {
		const network = createNetwork(seed);
		network.fillDisk(full);
		expect(countCommits(network, 1500)).toBe(30);
		network.freeDisk(full);
		network.run(1000);
		expect(['leader', 'follower']).toContain(network.getState(full).role);
		network.wipe(lost);
		network.run(4000);
		expect(countCommits(network, 1000)).toBe(20);
		// The lost voter needs commits to vote again.
		const change = network.changeVoters(full, {type: 'add', voter: {node: toBrand<NodeId>(lost), storeId: network.getStoreId(lost)!}});
		network.run(3000);
		expect(network.getOutcome(change)?.type).toBe('done');
	}
});
