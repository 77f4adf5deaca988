import {toBrand, type DataCentreId, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {getConfigurationFreshness} from './confirmation.js';
import {defaultReplicaLimits} from './constants.js';
import {createReplica} from './create-replica.js';
import type {ReplicaMessage} from './messages.js';
import {reduceReplica} from './reduce-replica.js';
import type {
	LogEntry, ReplicaConfig, ReplicaEffect, RequestId, StoreId,
} from './types.js';

const names = ['a1', 'b1', 'c1'];
const voters = names.map(name => ({node: toBrand<NodeId>(name), storeId: toBrand<StoreId>(`${name}-disk`)}));
const cfg: ReplicaConfig = {
	self: toBrand<NodeId>('a1'),
	storeId: toBrand<StoreId>('a1-disk'),
	nodes: voters.map(({node}) => ({node, dataCentre: toBrand<DataCentreId>('a'), isInitialVoter: true})),
	limits: defaultReplicaLimits,
	random: () => 0,
};

const entries: ReadonlyArray<LogEntry<string>> = [
	{index: 1, term: 1, payload: {type: 'voters', voters}},
	{index: 2, term: 2, payload: {type: 'command', requestId: toBrand<RequestId>('r'), command: 'older'}},
];

const startLeader = () => {
	const hardState = {term: 3, clusterId: toBrand<StoreId>('a1-disk')};
	let {state} = createReplica<string>({cfg, nowMs: 0}, {hardState, entries});
	let effects: ReadonlyArray<ReplicaEffect<string>> = [];
	const step = (event: Parameters<typeof reduceReplica<string>>[1]) => {
		({state, effects} = reduceReplica(state, event, cfg));
	};

	const receive = (from: string, message: ReplicaMessage<string>) => {
		step({
			type: 'peer/received', from: toBrand<NodeId>(from), message, nowMs: 1010,
		});
	};

	step({type: 'replica/tick', nowMs: 1010});
	receive('b1', {
		type: 'replica/vote', term: 4, isPreVote: true, isGranted: true, storeId: toBrand<StoreId>('b1-disk'),
	});
	step({type: 'replica/persisted', sequence: 1, nowMs: 1010});
	receive('b1', {
		type: 'replica/vote', term: 4, isPreVote: false, isGranted: true, storeId: toBrand<StoreId>('b1-disk'),
	});
	const acknowledge = (from: string, storeId: string, matchIndex: number) => {
		receive(from, {
			type: 'replica/appended', term: 4, round: 1, storeId: toBrand<StoreId>(storeId), isAccepted: true, matchIndex, receivedIndex: matchIndex, echo: {life: 0, sentAtMs: 0},
		});
	};

	return {
		step, acknowledge, getState: () => state, getEffects: () => effects,
	};
};

test('an entry of an older term is committed only together with an entry of the leader\'s own term', () => {
	const {step, acknowledge, getState} = startLeader();
	expect(getState().role).toBe('leader');
	step({type: 'replica/persisted', sequence: 2, nowMs: 1010});
	acknowledge('b1', 'b1-disk', 2);
	acknowledge('c1', 'c1-disk', 2);
	expect(getState().commitIndex).toBe(0);
	acknowledge('b1', 'b1-disk', 3);
	expect(getState().commitIndex).toBe(3);
});

test('neither an entry that the leader has not synced nor an answer from another data folder counts towards a quorum', () => {
	const {step, acknowledge, getState} = startLeader();
	acknowledge('b1', 'another-disk', 3);
	acknowledge('c1', 'c1-disk', 3);
	expect(getState().commitIndex).toBe(0);
	step({type: 'replica/persisted', sequence: 2, nowMs: 1010});
	expect(getState().commitIndex).toBe(3);
});

test('a node whose disk is slow answers a leader without acknowledging what is not synced, and acknowledges it once it is', () => {
	const {step, getState, getEffects} = startLeader();
	const receiveAppend = (round: number, nowMs: number) => {
		step({
			type: 'peer/received',
			from: toBrand<NodeId>('b1'),
			message: {
				type: 'replica/append',
				clusterId: toBrand<StoreId>('a1-disk'),
				term: 5,
				round,
				previousIndex: 3,
				previousTerm: 4,
				entries: [{index: 4, term: 5, payload: {type: 'noop'}}],
				commitIndex: 2,
			},
			nowMs,
		});
		return getEffects().flatMap(effect => effect.type === 'peer/send' ? [effect.message] : []);
	};

	expect(receiveAppend(1, 1010)).toEqual([]);
	expect(getState().role).toBe('follower');
	expect(receiveAppend(2, 1010 + defaultReplicaLimits.heartbeatPeriodMs)).toEqual([]);
	expect(receiveAppend(3, 1011 + defaultReplicaLimits.heartbeatPeriodMs)).toMatchObject([
		{
			type: 'replica/appended', round: 3, matchIndex: 2, receivedIndex: 4,
		},
	]);
	step({type: 'replica/persisted', sequence: getState().persistence.nextSequence - 1, nowMs: 1400});
	expect(getEffects()).toMatchObject([1, 2, 3].map(round => ({
		type: 'peer/send', to: 'b1', message: {
			type: 'replica/appended', round, matchIndex: 4, receivedIndex: 4,
		},
	})));
	expect(getState().persistence).toMatchObject({persistedIndex: 4, pending: []});
});

test('a leader rejects voter changes until it has committed an entry of its own term', () => {
	const {step, acknowledge, getEffects, getState} = startLeader();
	const remove = (requestId: string) => {
		step({
			type: 'replica/changeVoters',
			requestId: toBrand<RequestId>(requestId),
			change: {type: 'remove', node: toBrand<NodeId>('c1')},
			nowMs: 1010,
		});
	};

	remove('early');
	expect(getEffects()).toEqual([{
		type: 'replica/proposalFailed',
		requestId: 'early',
		failure: {type: 'invalidVoterChange', reason: 'notReady'},
		leader: 'a1',
	}]);
	step({type: 'replica/persisted', sequence: 2, nowMs: 1010});
	acknowledge('b1', 'b1-disk', 3);
	remove('later');
	expect(getState().voters.map(({node}) => node)).toEqual(['a1', 'b1']);
});

test('a heartbeat does not confirm messages that an earlier incarnation of the process sent', () => {
	const hardState = {term: 4, clusterId: toBrand<StoreId>('a1-disk')};
	const lease = {leaseMs: defaultReplicaLimits.configurationLeaseMs, nowMs: 100};
	const first = createReplica<string>({cfg: {...cfg, random: () => 0.5}, nowMs: 0}, {hardState, entries}).state;
	const receiveEcho = (processIncarnation: number, sentAtMs: number) => reduceReplica(first, {
		type: 'peer/received',
		from: toBrand<NodeId>('b1'),
		message: {
			type: 'replica/append',
			clusterId: toBrand<StoreId>('a1-disk'),
			term: 4,
			round: 1,
			previousIndex: 2,
			previousTerm: 2,
			entries: [],
			commitIndex: 2,
			confirms: {life: processIncarnation, sentAtMs},
		},
		nowMs: 100,
	}, cfg).state;
	const {processIncarnation} = first.confirmation;
	expect(getConfigurationFreshness(receiveEcho(processIncarnation + 1, 5000), lease)).toBe('starting');
	expect(getConfigurationFreshness(receiveEcho(processIncarnation, 50), lease)).toBe('fresh');
});
