import {createSeededRandom, toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {controlHostReplicaLimits} from './constants.js';
import {reduceReplica} from './reduce-replica.js';
import {createTestNetwork} from './test-network.js';
import type {ReplicaConfig, ReplicaEvent, ReplicaState} from './types.js';

const names = ['a1', 'b1', 'c1'];
const standstillMs = 700;
const tickMs = 50;

const setUp = () => {
	const network = createTestNetwork({
		nodes: names.map(name => ({name, dataCentre: name, kind: 'voter'})), seed: 77, limits: controlHostReplicaLimits,
	});
	network.run(4000);
	const leader = network.getLeader() ?? '';
	const createCfg = (name: string): ReplicaConfig => ({
		self: toBrand<NodeId>(name), storeId: network.getStoreId(name)!, nodes: [], limits: controlHostReplicaLimits, random: createSeededRandom(1),
	});
	const reduce = (name: string, state: ReplicaState<string>, event: ReplicaEvent<string>) => reduceReplica(state, event, createCfg(name));
	return {
		network, leader, follower: names.find(name => name !== leader) ?? '', reduce,
	};
};

// Incident 77: a leader that had just restarted applied its log and began its duties in one go, and then took the answers that it had not read yet for silence.
test('a leader that stood still reads what came meanwhile before it gives up the lead', () => {
	const {network, leader, follower, reduce} = setUp();
	const nowMs = network.getLocalMs(leader) + standstillMs;
	const woken = reduce(leader, network.getState(leader), {type: 'replica/tick', nowMs});
	expect(woken.state.role).toBe('leader');
	const asked = woken.effects.find(effect => effect.type === 'peer/send' && effect.to === toBrand<NodeId>(follower));
	expect(asked).toBeDefined();
	const answered = reduce(follower, network.getState(follower), {
		type: 'peer/received', from: toBrand<NodeId>(leader), message: asked?.type === 'peer/send' ? asked.message : undefined!, nowMs: network.getLocalMs(follower) + 1,
	});
	const answer = answered.effects.find(effect => effect.type === 'peer/send');
	const heard = reduce(leader, woken.state, {
		type: 'peer/received', from: toBrand<NodeId>(follower), message: answer?.type === 'peer/send' ? answer.message : undefined!, nowMs: nowMs + 1,
	});
	expect(reduce(leader, heard.state, {type: 'replica/tick', nowMs: nowMs + tickMs}).state.role).toBe('leader');
});

test.each([tickMs, standstillMs])('a leader that has read everything since it stood still, and was not answered, gives up the lead (next tick after %i ms)', nextTickMs => {
	const {network, leader, reduce} = setUp();
	const nowMs = network.getLocalMs(leader) + standstillMs;
	const woken = reduce(leader, network.getState(leader), {type: 'replica/tick', nowMs});
	expect(reduce(leader, woken.state, {type: 'replica/tick', nowMs: nowMs + nextTickMs}).state.role).toBe('follower');
});
