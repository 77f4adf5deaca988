import {expect, test} from 'vitest';
import {controlHostReplicaLimits} from './constants.js';
import {createTestNetwork, type TestNode} from './test-network.js';
import {createMaintainedNetwork} from './test-voter-maintenance.js';

const voterNames = ['a1', 'b1', 'c1'];
const seeds = [1, 2, 3, 4, 5, 6];

const startCluster = (seed: number, spares: readonly string[]) => {
	const names = [...voterNames, ...spares];
	const network = createTestNetwork({
		seed,
		limits: controlHostReplicaLimits,
		nodes: names.map((name): TestNode => ({name, dataCentre: name, kind: voterNames.includes(name) ? 'voter' : 'spareDisk'})),
	});
	const {run} = createMaintainedNetwork({network, names, wantedVoters: 3});
	for (const name of spares) {
		network.crash(name);
	}

	run(3000);
	const getVoters = () => network.getState(network.getLeader() ?? '').voters.map(({node}) => String(node)).toSorted();
	const getCommitIndex = () => Math.max(...names.map(name => network.getState(name).commitIndex));
	const expectCommits = () => {
		const before = getCommitIndex();
		run(5000);
		expect(getCommitIndex()).toBeGreaterThan(before + 1);
	};

	return {
		network, run, getVoters, expectCommits, leader: network.getLeader() ?? '',
	};
};

const others = (...names: readonly string[]) => [...voterNames, 's1'].filter(name => !names.includes(name));

test('a second control host may be lost with its disk four seconds after a replacement started', () => {
	for (const seed of seeds) {
		const {leader} = startCluster(seed, ['s1']);
		for (const first of voterNames) {
			for (const second of others(first)) {
				const {network, run, getVoters, expectCommits} = startCluster(seed, ['s1']);
				expect(network.getLeader()).toBe(leader);
				network.crash(first);
				network.wipe('s1');
				run(4000);
				expect(getVoters()).toEqual(others(first));
				network.wipe(second);
				network.crash(second);
				expectCommits();
			}
		}
	}
});

test('a host that returns with an empty disk is a voter again before the next loss', () => {
	for (const seed of seeds) {
		for (const first of voterNames) {
			const {network, run, getVoters, expectCommits} = startCluster(seed, []);
			network.crash(first);
			run(1200);
			network.wipe(first);
			run(4000);
			expect(getVoters()).toEqual(voterNames);
			network.crash(voterNames.find(name => name !== first) ?? '');
			expectCommits();
		}
	}
});

test('what a host with an empty disk acknowledges does not count for its old data folder', () => {
	const {network, run, leader} = startCluster(7, []);
	const [first = '', second = ''] = voterNames.filter(name => name !== leader);
	network.isolate([first]);
	network.wipe(second);
	run(100);
	const before = network.getState(leader).commitIndex;
	run(3000);
	expect(network.getState(leader).commitIndex).toBe(before);
	network.heal();
	run(4000);
	expect(Math.max(...voterNames.map(name => network.getState(name).commitIndex))).toBeGreaterThan(before);
});

test('a learner that dies does not keep another host from becoming a voter', () => {
	for (const seed of seeds) {
		const {network, run, leader, getVoters} = startCluster(seed, ['s1', 's2']);
		const lost = voterNames.find(name => name !== leader) ?? '';
		network.wipe('s1');
		network.wipe('s2');
		network.fillDisk('s1');
		network.crash(lost);
		run(10_000);
		expect(getVoters()).toEqual([...voterNames.filter(name => name !== lost), 's2']);
	}
});

test('a voter whose disk fails is replaced by a host that is there', () => {
	const {network, run, leader, getVoters, expectCommits} = startCluster(8, ['s1']);
	const failed = voterNames.find(name => name !== leader) ?? '';
	network.wipe('s1');
	run(1000);
	network.fillDisk(failed);
	run(4000);
	expect(getVoters()).toEqual(others(failed));
	network.crash(leader);
	expectCommits();
});

test('a host that returns with an empty disk, which fails, is replaced by a host that is there', () => {
	const {network, run, leader, getVoters} = startCluster(9, ['s1']);
	const failed = voterNames.find(name => name !== leader) ?? '';
	network.wipe('s1');
	network.wipe(failed);
	network.fillDisk(failed);
	run(10_000);
	expect(getVoters()).toEqual(others(failed));
});

test.each([{durationMs: 2000}, {durationMs: 3000}, {durationMs: 5000}])('a voter that is cut off for $durationMs ms returns without harm', ({durationMs}) => {
	for (const seed of seeds) {
		const {network, run, leader, getVoters, expectCommits} = startCluster(seed, ['s1']);
		network.wipe('s1');
		run(1000);
		const cut = voterNames.find(name => name !== leader) ?? '';
		const {term} = network.getState(leader);
		network.isolate([cut]);
		run(durationMs);
		network.heal();
		run(4000);
		expect(network.getState(leader)).toMatchObject({role: 'leader', term});
		expect(getVoters()).toHaveLength(3);
		network.crash(leader);
		expectCommits();
	}
});

test('a leader whose disk hangs while the others commit is replaced by a host that is there', () => {
	const {network, run, leader, getVoters, expectCommits} = startCluster(10, ['s1']);
	network.wipe('s1');
	run(1000);
	network.fillDisk(leader);
	run(10_000);
	expect(getVoters()).toEqual(others(leader));
	expectCommits();
});
