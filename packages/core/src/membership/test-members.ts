/**
 * Entry hosts that run membership over the fake network, each with a clock of its own rate.
 */
import {
	createSeededRandom, toBrand, type DataCentreId, type MinionId, type MonotonicMs, type NodeId, type PoolId,
	type RegionId, type WorkerId,
} from '@samphiremill/common';
import {minionForgetAfterMs, minionLeaseMs, minionRenewalPeriodMs} from '../minions/constants.js';
import type {MinionsMessage} from '../minions/types.js';
import {defaultMembershipTimings, membershipTickPeriodMs} from './constants.js';
import {
	createMembershipState, reduceMembership, type MembershipEffect, type MembershipEvent, type MembershipPartConfig,
	type MembershipState,
} from './reduce-membership.js';
import {createTestNetwork, type TestNetwork} from './test-network.js';
import type {MembershipMessage, MinionAnnouncement, NodeAddress} from './types.js';

/** An event without its time, which the node's own clock gives. */
export type UntimedEvent = MembershipEvent extends infer Event ? Event extends MembershipEvent ? Omit<Event, 'nowMs'> : never : never;

/** One entry host of the test. */
export type TestMember = {
	readonly cfg: MembershipPartConfig;
	readonly state: MembershipState;
	readonly isRunning: boolean;
	readonly clockRate: number;
	readonly tickedAtMs: number;
};

/** A few data centres of entry hosts. */
export type TestMembers = {
	readonly network: TestNetwork<MembershipMessage | MinionsMessage>;
	readonly nodes: readonly NodeId[];
	readonly get: (node: NodeId) => TestMember;
	readonly getNowOf: (node: NodeId) => MonotonicMs;
	readonly dispatch: (node: NodeId, event: UntimedEvent) => void;
	/** Moves every clock on, in steps of 10 ms if no other are named. */
	readonly advance: (durationMs: number, stepMs?: number) => void;
	readonly crash: (node: NodeId) => void;
	readonly restart: (node: NodeId) => void;
	/** Every effect that was not a message, in order. */
	readonly effects: MembershipEffect[];
};

/**
 * @param dataCentres - How many data centres.
 * @param nodesEach - How many entry hosts in each.
 * @returns The addresses, named `dc0-0` and so on.
 */
export function createTestAddresses(dataCentres: number, nodesEach: number): readonly NodeAddress[] {
	return Array.from({length: dataCentres * nodesEach}, (_, index) => ({
		node: toBrand<NodeId>(`dc${Math.floor(index / nodesEach)}-${index % nodesEach}`),
		dataCentre: toBrand<DataCentreId>(`dc${Math.floor(index / nodesEach)}`),
		region: toBrand<RegionId>('region'),
		host: '127.0.0.1',
		peerPort: 7000 + index,
		isVoter: index % nodesEach === 0,
	}));
}

/**
 * @param name - The minion's id; its worker has the same.
 * @param incarnation - Its start.
 * @returns The announcement of a minion of 8 slots in the first data centre.
 */
export function createTestAnnouncement(name: string, incarnation = 1): MinionAnnouncement {
	return {
		minion: toBrand<MinionId>(name),
		incarnation,
		worker: toBrand<WorkerId>(name),
		pool: toBrand<PoolId>('pool'),
		dataCentre: toBrand<DataCentreId>('dc0'),
		host: '127.0.0.1',
		port: 9000,
		slots: 8,
		connections: 64,
	};
}

function createConfig(self: NodeAddress, addresses: readonly NodeAddress[], incarnation: number): MembershipPartConfig {
	return {
		membership: {
			self, incarnation, addresses, timings: defaultMembershipTimings,
		},
		minions: {
			self: self.node, leaseMs: minionLeaseMs, renewalPeriodMs: minionRenewalPeriodMs, forgetAfterMs: minionForgetAfterMs,
		},
	};
}

/**
 * @param options - The addresses, the seed, and the rates of the clocks in turn.
 * @returns Running entry hosts that have heard nobody yet.
 */
export function createTestMembers({addresses, seed, clockRates = [1]}: {
	readonly addresses: readonly NodeAddress[];
	readonly seed: number;
	readonly clockRates?: readonly number[];
}): TestMembers {
	const network = createTestNetwork<MembershipMessage | MinionsMessage>(createSeededRandom(seed));
	const effects: MembershipEffect[] = [];
	const members = new Map<NodeId, TestMember>();

	const start = (self: NodeAddress, incarnation: number, clockRate: number) => {
		const cfg = createConfig(self, addresses, incarnation);
		const nowMs = toBrand<MonotonicMs>(network.getNow() * clockRate);
		members.set(self.node, {
			cfg, state: createMembershipState(cfg, nowMs), isRunning: true, clockRate, tickedAtMs: 0,
		});
	};

	for (const [index, address] of addresses.entries()) {
		start(address, 1, clockRates[index % clockRates.length] ?? 1);
	}

	const get = (node: NodeId) => {
		const member = members.get(node);
		if (member === undefined) {
			throw new TypeError(`no node ${node}`);
		}

		return member;
	};

	const getNowOf = (node: NodeId) => toBrand<MonotonicMs>(network.getNow() * get(node).clockRate);

	const dispatch = (node: NodeId, event: UntimedEvent) => {
		const member = get(node);
		if (!member.isRunning) {
			return;
		}

		const step = reduceMembership(member.state, {...event, nowMs: getNowOf(node)}, member.cfg);
		members.set(node, {...member, state: step.state});
		for (const effect of step.effects) {
			if (effect.type === 'peer/send') {
				network.send(node, effect.to, effect.message);
			} else {
				effects.push(effect);
			}
		}
	};

	const tickIfDue = (node: NodeId) => {
		const member = get(node);
		if (getNowOf(node) - member.tickedAtMs >= membershipTickPeriodMs) {
			members.set(node, {...member, tickedAtMs: getNowOf(node)});
			dispatch(node, {type: 'membership/tick'});
		}
	};

	const nodes = addresses.map(({node}) => node);
	return {
		network,
		nodes,
		get,
		getNowOf,
		dispatch,
		effects,
		advance(durationMs, stepMs = 10) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				network.advance(stepMs, ({from, to, message}) => {
					dispatch(to, {type: 'peer/received', from, message});
				});
				for (const node of nodes) {
					tickIfDue(node);
				}
			}
		},
		crash(node) {
			members.set(node, {...get(node), isRunning: false});
		},
		restart(node) {
			const {cfg, clockRate} = get(node);
			start(cfg.membership.self, cfg.membership.incarnation + 1, clockRate);
		},
	};
}
