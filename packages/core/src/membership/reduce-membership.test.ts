import process from 'node:process';
import {
	toBrand, type DataCentreId, type MonotonicMs, type NodeId,
} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {listMinions} from '../minions/selectors.js';
import {planViews} from './plan-views.js';
import {
	createTestAddresses, createTestAnnouncement, createTestMembers, type TestMembers,
} from './test-members.js';
import {getFleetView} from './view.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 1);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 25);

const toNode = (name: string) => toBrand<NodeId>(name);

function getHealth(members: TestMembers, observer: string, subject: string): string | undefined {
	return members.get(toNode(observer)).state.view.members.find(({node}) => node === subject)?.health;
}

function listHealth(members: TestMembers, observer: NodeId): readonly string[] {
	return members.get(observer).state.view.members.map(({node, health}) => `${node} ${health}`);
}

function listWorkerConditions(members: TestMembers, node: NodeId): readonly string[] {
	const {cfg, state} = members.get(node);
	return getFleetView(state, {cfg: cfg.membership, nowMs: members.getNowOf(node)}).workers.map(({worker, condition}) => `${worker} ${condition}`);
}

function cutBothWays(members: TestMembers, left: readonly NodeId[], right: readonly NodeId[]) {
	for (const from of left) {
		for (const to of right) {
			members.network.cut(from, to);
			members.network.cut(to, from);
		}
	}
}

const fault = fc.oneof(
	fc.record({type: fc.constant('crash' as const), node: fc.nat(5)}),
	fc.record({type: fc.constant('restart' as const), node: fc.nat(5)}),
	fc.record({type: fc.constant('cut' as const), node: fc.nat(5), to: fc.nat(5)}),
	fc.record({type: fc.constant('heal' as const)}),
	fc.record({type: fc.constant('renew' as const), node: fc.nat(2), minion: fc.nat(3)}),
	fc.record({
		type: fc.constant('noise' as const), dropRate: fc.double({min: 0, max: 0.5, noNaN: true}), maximumDelayMs: fc.nat(1500),
	}),
);

function applyFault(members: TestMembers, step: typeof fault extends fc.Arbitrary<infer Value> ? Value : never) {
	const node = members.nodes['node' in step ? step.node : 0] ?? toNode('');
	switch (step.type) {
		case 'crash': {
			members.crash(node);
			return;
		}

		case 'restart': {
			members.restart(node);
			return;
		}

		case 'cut': {
			members.network.cut(node, members.nodes[step.to] ?? toNode(''));
			return;
		}

		case 'heal': {
			members.network.healAll();
			return;
		}

		case 'renew': {
			members.dispatch(node, {type: 'minions/announced', announcement: createTestAnnouncement(`minion-${step.minion}`)});
			return;
		}

		case 'noise': {
			members.network.setFaults({...step, duplicateRate: 0.2});
		}
	}
}

test('after any faults, once the network heals, all nodes agree on nodes, minions and workers', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fault, fc.nat(2000)), {maxLength: 12}), fc.integer(), (faults, networkSeed) => {
		const members = createTestMembers({addresses: createTestAddresses(2, 3), seed: networkSeed, clockRates: [1, 0.9, 1.1]});
		for (const [step, pauseMs] of faults) {
			applyFault(members, step);
			members.advance(pauseMs);
		}

		members.network.healAll();
		const running = members.nodes.filter(node => members.get(node).isRunning);
		members.advance(2000);
		for (let round = 0; round < 16; round += 1) {
			members.dispatch(running[0] ?? toNode('dc0-0'), {type: 'minions/announced', announcement: createTestAnnouncement('minion-0')});
			members.advance(500);
		}

		for (const node of running) {
			const {dataCentre} = members.get(node).cfg.membership.self;
			const neighbours = members.nodes.filter(other => members.get(other).cfg.membership.self.dataCentre === dataCentre);
			expect(listHealth(members, node).filter(line => line.startsWith(dataCentre)))
				.toEqual(neighbours.map(other => `${other} ${members.get(other).isRunning ? 'alive' : 'dead'}`));
			const sameDataCentre = running.find(other => neighbours.includes(other)) ?? node;
			const listReadyMinions = (other: NodeId) => listMinions(members.get(other).state.minions).filter(({condition}) => condition !== 'silent').map(({minion}) => minion);
			expect(listReadyMinions(node)).toEqual(listReadyMinions(sameDataCentre));
		}

		const isRunningOnBothSides = new Set(running.map(node => node.slice(0, 3))).size === 2;
		for (const node of isRunningOnBothSides ? running : []) {
			expect(listHealth(members, node)).toEqual(listHealth(members, running[0] ?? node));
			expect(listWorkerConditions(members, node)).toContain('minion-0 up');
		}
	}), {seed, numRuns: numberRuns});
});

test('a crashed node is suspected, then dead, and a restart brings it back', () => {
	const members = createTestMembers({addresses: createTestAddresses(1, 3), seed: 1});
	members.advance(1000);
	members.crash(toNode('dc0-1'));
	members.advance(800);
	expect(getHealth(members, 'dc0-0', 'dc0-1')).toBe('suspect');
	members.advance(600);
	expect(getHealth(members, 'dc0-0', 'dc0-1')).toBe('dead');
	members.restart(toNode('dc0-1'));
	members.advance(1500);
	expect(getHealth(members, 'dc0-0', 'dc0-1')).toBe('alive');
});

test('a node that one neighbour hears is not dead to another that does not', () => {
	const members = createTestMembers({addresses: createTestAddresses(1, 3), seed: 1});
	members.advance(1000);
	members.network.cut(toNode('dc0-1'), toNode('dc0-0'));
	members.advance(10_000);
	expect(['alive', 'suspect']).toContain(getHealth(members, 'dc0-0', 'dc0-1'));
	members.network.cut(toNode('dc0-1'), toNode('dc0-2'));
	members.advance(2500);
	expect(getHealth(members, 'dc0-0', 'dc0-1')).toBe('dead');
});

test('a node that left stays gone for its old heartbeats, and a lower incarnation is not heard', () => {
	const members = createTestMembers({addresses: createTestAddresses(1, 2), seed: 1});
	members.advance(1000);
	members.dispatch(toNode('dc0-1'), {type: 'membership/leave'});
	members.advance(100);
	const receiveHeartbeat = (incarnation: number, sequence: number) => {
		members.dispatch(toNode('dc0-0'), {
			type: 'peer/received', from: toNode('dc0-1'), message: {type: 'membership/heartbeat', incarnation, sequence},
		});
		return getHealth(members, 'dc0-0', 'dc0-1');
	};

	expect(receiveHeartbeat(1, 1000)).toBe('left');
	expect(receiveHeartbeat(0, 1001)).toBe('left');
	expect(receiveHeartbeat(2, 1)).toBe('alive');
});

test('a node cut off for an hour returns with old beliefs and takes up the present ones', () => {
	const members = createTestMembers({addresses: createTestAddresses(1, 2), seed: 1});
	members.dispatch(toNode('dc0-0'), {type: 'minions/announced', announcement: createTestAnnouncement('old')});
	members.advance(1000);
	cutBothWays(members, [toNode('dc0-1')], members.nodes.filter(node => node !== 'dc0-1'));
	members.advance(60 * 60 * 1000, 100);
	expect(listWorkerConditions(members, toNode('dc0-1'))).toEqual([]);
	members.dispatch(toNode('dc0-0'), {type: 'minions/announced', announcement: createTestAnnouncement('new')});
	members.network.healAll();
	members.advance(2500);
	expect(listWorkerConditions(members, toNode('dc0-1'))).toEqual(['new up']);
	expect(listHealth(members, toNode('dc0-1'))).toEqual(listHealth(members, toNode('dc0-0')));
});

test('a data centre without fresh summaries has unknown workers, and keeps its view', () => {
	const members = createTestMembers({addresses: createTestAddresses(2, 2), seed: 1});
	const [own, other] = [members.nodes.slice(0, 2), members.nodes.slice(2)];
	const renew = () => {
		members.dispatch(toNode('dc0-0'), {type: 'minions/announced', announcement: createTestAnnouncement('minion')});
		members.advance(1000);
	};

	for (let second = 0; second < 3; second += 1) {
		renew();
	}

	expect(listWorkerConditions(members, toNode('dc1-0'))).toEqual(['minion up']);
	cutBothWays(members, own, other);
	for (let second = 0; second < 6; second += 1) {
		renew();
	}

	expect(listWorkerConditions(members, toNode('dc1-0'))).toEqual(['minion unknown']);
	const view = {dataCentre: toBrand<DataCentreId>('dc0'), epoch: 4, members: [toNode('dc0-0')]};
	const planned = planViews([view], members.get(toNode('dc1-0')).state.view, members.getNowOf(toNode('dc1-0')));
	expect(planned.filter(({dataCentre}) => dataCentre === 'dc0')).toEqual([]);
});

test('a leaving minion is ready nowhere in its data centre after 3 s, with half of the messages lost', () => {
	fc.assert(fc.property(fc.integer(), networkSeed => {
		const members = createTestMembers({addresses: createTestAddresses(1, 3), seed: networkSeed});
		members.dispatch(toNode('dc0-0'), {type: 'minions/announced', announcement: createTestAnnouncement('minion')});
		members.advance(1000);
		members.network.setFaults({dropRate: 0.5, duplicateRate: 0.2, maximumDelayMs: 300});
		const {minion, incarnation} = createTestAnnouncement('minion');
		members.dispatch(toNode('dc0-1'), {type: 'minions/leaving', minion, incarnation});
		for (let round = 0; round < 6; round += 1) {
			members.dispatch(toNode('dc0-0'), {type: 'minions/renewed', minion, incarnation});
			members.advance(500);
		}

		for (const node of members.nodes) {
			expect(listMinions(members.get(node).state.minions).filter(({condition}) => condition === 'ready')).toEqual([]);
		}
	}), {seed, numRuns: 20});
});

test('a mute connection has the minion probed, and only a failed probe makes it silent until it is heard', () => {
	const members = createTestMembers({addresses: createTestAddresses(1, 1), seed: 1});
	const announcement = createTestAnnouncement('minion');
	const {minion, incarnation} = announcement;
	const getCondition = () => listMinions(members.get(toNode('dc0-0')).state.minions)[0]?.condition;
	members.dispatch(toNode('dc0-0'), {type: 'minions/announced', announcement});
	for (const isReachable of [true, false]) {
		members.dispatch(toNode('dc0-0'), {type: 'minions/connectionMute', minion, incarnation});
		expect(getCondition()).toBe('ready');
		members.dispatch(toNode('dc0-0'), {
			type: 'minions/probed', minion, incarnation, isReachable,
		});
		expect(getCondition()).toBe(isReachable ? 'ready' : 'silent');
	}

	members.advance(100);
	members.dispatch(toNode('dc0-0'), {type: 'minions/renewed', minion, incarnation});
	expect(getCondition()).toBe('ready');
	expect(members.effects.filter(({type}) => type === 'minions/probe')).toHaveLength(2);
});

test('a committed view loses a dead member late, gains a live one later, and is never emptied', () => {
	const dataCentre = toBrand<DataCentreId>('dc0');
	const plan = (statuses: ReadonlyArray<readonly [string, 'alive' | 'suspect' | 'dead' | 'left', number]>) => planViews(
		[{dataCentre, epoch: 7, members: [toNode('a'), toNode('b')]}],
		{
			members: statuses.map(([node, health, sinceMs]) => ({
				node: toNode(node), dataCentre, incarnation: 1, health, sinceMs: toBrand<MonotonicMs>(sinceMs),
			})),
			freshDataCentres: [dataCentre],
		},
		toBrand<MonotonicMs>(10_000),
	).map(({members, expectedEpoch}) => `${expectedEpoch}: ${members.join(' ')}`);

	expect(plan([['a', 'alive', 0], ['b', 'dead', 9900]])).toEqual([]);
	expect(plan([['a', 'alive', 0], ['b', 'dead', 9000]])).toEqual(['7: a']);
	expect(plan([['a', 'alive', 0], ['b', 'left', 9999]])).toEqual(['7: a']);
	expect(plan([['a', 'alive', 0], ['b', 'suspect', 0], ['c', 'alive', 8000]])).toEqual([]);
	expect(plan([['a', 'alive', 0], ['b', 'alive', 0], ['c', 'alive', 5000]])).toEqual(['7: a b c']);
	expect(plan([['a', 'dead', 0], ['b', 'dead', 0]])).toEqual([]);
});
