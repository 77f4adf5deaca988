import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {maximumPendingMessages, maximumPendingWrites} from './constants.js';
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

const listOthers = (names: readonly string[]) => voterNames.filter(name => !names.includes(name));

// Proposes a command each 50 ms, and returns how many of them were committed within 1 s of the end.
const countCommits = (network: TestNetwork, durationMs: number) => {
	const ids = Array.from({length: durationMs / 50}, (_, index) => {
		network.run(50);
		return network.propose('d1', `at ${network.getNowMs()} (${index})`);
	});
	network.run(1000);
	return ids.filter(id => network.getOutcome(id)?.type === 'done').length;
};

const getPendingSizes = (network: TestNetwork, name: string) => {
	const {pending} = network.getState(name).persistence;
	return {writes: pending.length, messages: Math.max(0, ...pending.map(({messages}) => messages.length))};
};

const hasSyncedAll = (network: TestNetwork, name: string) => {
	const {persistence, commitIndex} = network.getState(name);
	return persistence.pending.length === 0 && persistence.persistedIndex >= commitIndex;
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

test('a leader whose own disk is full leads on while its followers sync, and keeps few unsynced writes in memory', () => {
	const network = createNetwork(1);
	const leader = network.getLeader() ?? '';
	const {term} = network.getState(leader);
	network.fillDisk(leader);
	expect(countCommits(network, 60_000)).toBe(1200);
	expect([network.getLeader(), network.getState(leader).term]).toEqual([leader, term]);
	expect(getPendingSizes(network, leader).writes).toBeLessThanOrEqual(maximumPendingWrites);
	network.freeDisk(leader);
	network.run(500);
	expect(hasSyncedAll(network, leader)).toBe(true);
});

test('a follower whose disk is full acknowledges nothing, keeps few messages in memory, and catches up once its disk has room', () => {
	const network = createNetwork(2);
	const leader = network.getLeader() ?? '';
	const [full = ''] = listOthers([leader]);
	const getMatchIndex = () => network.getState(leader).leadership?.progress.get(toBrand<NodeId>(full))?.matchIndex ?? 0;
	network.run(1000);
	const matchIndex = getMatchIndex();
	network.fillDisk(full);
	expect(countCommits(network, 60_000)).toBe(1200);
	expect(getMatchIndex()).toBe(matchIndex);
	expect(getPendingSizes(network, full).writes).toBeLessThanOrEqual(maximumPendingWrites);
	expect(getPendingSizes(network, full).messages).toBeLessThanOrEqual(maximumPendingMessages);
	network.freeDisk(full);
	network.run(2000);
	expect(hasSyncedAll(network, full)).toBe(true);
	expect(getMatchIndex()).toBe(network.getState(leader).commitIndex);
});

test('a voter whose disk is full does not raise its term when the leader dies, and elects another once its disk has room', () => {
	const network = createNetwork(3);
	const leader = network.getLeader() ?? '';
	const [full = ''] = listOthers([leader]);
	const {term} = network.getState(leader);
	network.fillDisk(full);
	countCommits(network, 500);
	network.crash(leader);
	network.run(60_000);
	expect(network.getLeader()).toBeUndefined();
	// Only the voter whose disk works may have stood for election, and only once: nobody grants it a second vote.
	expect(Math.max(...listOthers([leader]).map(name => network.getState(name).term)) - term).toBeLessThanOrEqual(1);
	network.freeDisk(full);
	network.run(4000);
	expect(countCommits(network, 1000)).toBe(20);
});

test('after all disks were full at once and have room again, the cluster commits', () => {
	for (let seed = 1; seed <= 4; seed += 1) {
		const network = createNetwork(seed);
		const {term} = network.getState('a1');
		for (const name of voterNames) {
			network.fillDisk(name);
		}

		expect(countCommits(network, 10_000)).toBe(0);
		for (const name of voterNames) {
			network.freeDisk(name);
		}

		network.run(4000);
		expect(countCommits(network, 1000), `seed ${seed}`).toBe(20);
		expect(network.getState('a1').term - term).toBeLessThanOrEqual(3);
		expect(voterNames.map(name => hasSyncedAll(network, name))).toEqual(voterNames.map(() => true));
	}
});
