import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {controlHostReplicaLimits} from './constants.js';
import {getBytesBetween, getLastIndex} from './log.js';
import {createTestNetwork} from './test-network.js';

const entryLength = 300_000;
const createCommand = (number: number) => `change ${number} `.padEnd(entryLength, '.');

const startNetwork = () => {
	const network = createTestNetwork({
		nodes: [
			...['a1', 'b1', 'c1'].map(name => ({name, dataCentre: `of ${name}`, kind: 'voter' as const})),
			{name: 'd1', dataCentre: 'of d1', kind: 'diskless'},
		],
		seed: 1,
		limits: controlHostReplicaLimits,
		isOrdered: true,
		links: {bytesPerMs: 25_000, bufferBytes: 2_097_152},
		keepOfCommand: command => command.slice(0, 40),
	});
	network.run(3000);
	return {network, leader: network.getLeader() ?? ''};
};

// Review of issue 44, case 2: nothing bounded what a leader took into its log while nothing could be committed.
test('a leader that cannot commit refuses proposals at once beyond the bytes that may be uncommitted, and takes them again afterwards', () => {
	const {network, leader} = startNetwork();
	const requests = Array.from({length: 40}, (_, number) => network.propose(leader, createCommand(number)));
	const refused = requests.filter(id => network.getOutcome(id)?.type === 'failed');
	const {log, commitIndex} = network.getState(leader);
	expect(getBytesBetween(log, {after: commitIndex, upTo: getLastIndex(log)})).toBeLessThan(controlHostReplicaLimits.maximumUncommittedBytes + entryLength + 1000);
	expect(refused).toEqual(requests.slice(-refused.length));
	expect(refused.map(id => network.getOutcome(id))).toEqual(refused.map(() => ({type: 'failed', failure: '{"type":"notProposed","reason":"busy"}'})));
	expect(refused.length).toBeGreaterThan(5);
	network.run(3000);
	expect(requests.filter(id => network.getOutcome(id)?.type === 'done')).toHaveLength(40 - refused.length);
	const later = network.propose(leader, createCommand(41));
	network.run(1000);
	expect(network.getOutcome(later)?.type).toBe('done');
});

// Review of issue 44, case 1: a subscriber was pushed a batch at each commit, whether it kept up or not.
test('a subscriber that stands still is pushed no more than the bytes that it may leave unconfirmed, and then gets the rest', () => {
	const {network, leader} = startNetwork();
	const upstream = ['a1', 'b1', 'c1'].find(name => network.getState(name).feed.subscribers.has(toBrand<NodeId>('d1'))) ?? '';
	network.pause('d1');
	for (let number = 0; number < 12; number += 1) {
		network.propose(leader, createCommand(number));
		network.run(100);
		const {log, feed} = network.getState(upstream);
		const subscriber = feed.subscribers.get(toBrand<NodeId>('d1'));
		const pushed = subscriber === undefined ? 0 : getBytesBetween(log, {after: subscriber.pulledIndex, upTo: subscriber.sentIndex});
		expect(pushed).toBeLessThanOrEqual(controlHostReplicaLimits.maximumPushedBytes);
	}

	network.resume('d1');
	network.run(3000);
	expect(network.getState('d1').commitIndex).toBe(network.getState(leader).commitIndex);
});
