import {expect, test} from 'vitest';
import {controlHostReplicaLimits} from './constants.js';
import {createTestNetwork} from './test-network.js';

const voterNames = ['a1', 'b1', 'c1'];

const startNetwork = (seed: number) => {
	const network = createTestNetwork({
		nodes: voterNames.map(name => ({name, dataCentre: name, kind: 'voter'})), seed, limits: controlHostReplicaLimits,
	});
	network.run(4000);
	return {network, leader: network.getLeader() ?? ''};
};

test.each([300, 600, 800, 1000, 2000])('after the leader is lost, the two voters that are left elect one although one of them syncs in %i ms', syncMs => {
	for (let seed = 1; seed <= 8; seed += 1) {
		const {network, leader} = startNetwork(seed);
		const slow = voterNames.find(name => name !== leader) ?? '';
		network.setSyncTime(slow, {least: syncMs * 0.9, most: syncMs * 1.1});
		network.run(2000);
		network.crash(leader);
		const proposer = voterNames.find(name => name !== leader && name !== slow) ?? '';
		const before = network.getState(proposer).commitIndex;
		// Some candidacies, each of which takes two syncs and a longer wait than the one before.
		network.run(4000 + (6 * syncMs));
		expect(network.getState(proposer).commitIndex, `seed ${seed}`).toBeGreaterThan(before);
	}
});
