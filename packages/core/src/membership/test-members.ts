/**
 * Entry hosts that run membership over the simulated network, each with its own clock rate.
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

/** An event without its time, which is read from the node's own clock. */
export type UntimedEvent = MembershipEvent extends infer Event ? Event extends MembershipEvent ? Omit<Event, 'nowMs'> : never : never;

/** One entry host of the test. */
export type TestMember = {
	readonly cfg: MembershipPartConfig;
	readonly state: MembershipState;
	readonly isRunning: boolean;
	readonly clockRate: number;
	readonly tickedAtMs: number;
};

/** The entry hosts of a few data centres. */
export type TestMembers = {
	readonly network: TestNetwork<MembershipMessage | MinionsMessage>;
	readonly nodes: readonly NodeId[];
	readonly get: (node: NodeId) => TestMember;
	readonly getNowOf: (node: NodeId) => MonotonicMs;
	readonly dispatch: (node: NodeId, event: UntimedEvent) => void;
	/** Advances every clock, by default in steps of 10 ms. */
	readonly advance: (durationMs: number, stepMs?: number) => void;
	readonly crash: (node: NodeId) => void;
	readonly restart: (node: NodeId) => void;
	/** All effects other than messages, in order. */
	readonly effects: MembershipEffect[];
};

/**
 * Creates the addresses of entry hosts with the ids `dc0-0`, `dc0-1` and so on.
 *
 * @param dataCentres - The number of data centres.
 * @param nodesEach - The number of entry hosts in each data centre.
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
 * Creates the announcement of a minion with 8 slots in the first data centre.
 *
 * @param name - The id of the minion and of its worker.
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
 * Creates running entry hosts that have not received any message yet.
 *
 * @param options - `clockRates` are assigned to the entry hosts in turn.
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
