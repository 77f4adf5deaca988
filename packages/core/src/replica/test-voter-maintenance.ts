/**
 * Maintains the set of voters of a test network as control hosts do.
 */
import {toBrand, type NodeId} from '@samphiremill/common';
import {chooseVoterChange, isLeaderReplaceable, type VoterChangeInput} from './choose-voter-change.js';
import type {TestNetwork} from './test-network.js';
import type {
	RequestId, StoreId, VoterChange, VoterIdentity,
} from './types.js';
import {isDiskHanging, listStalledVoters} from './voter-progress.js';

const stepMs = 50;
const checkPeriodMs = 250;
const proposalPeriodMs = 200;
const absenceTimeoutMs = 2500;
const failedVoterRetryDelayMs = 2000;

/** The part of a control host that maintains the set of voters. */
export type VoterMaintenance = {
	/** Notes which nodes are linked now. */
	readonly recordLinks: () => void;
	/** Starts the next change that the set of voters needs, if none is under way. */
	readonly maintain: (leader: string) => void;
};

/**
 * Creates the maintenance of voters for all nodes of a network.
 *
 * @param options - `listHosts` lists the hosts that may vote, as the leader knows them.
 */
export function createVoterMaintenance({network, names, wantedVoters, listHosts}: {
	readonly network: TestNetwork;
	readonly names: readonly string[];
	readonly wantedVoters: number;
	readonly listHosts: (leader: string) => readonly VoterIdentity[];
}): VoterMaintenance {
	const linkedAtMs = new Map<string, number>();
	const startedByTerm = new Map<number, {readonly id: RequestId; readonly change: VoterChange}>();
	const retryAtMs = new Map<string, number>();

	return {
		recordLinks() {
			for (const left of names) {
				for (const right of names.filter(name => network.isLinked(left, name))) {
					linkedAtMs.set(`${left}>${right}`, network.getNowMs());
				}
			}
		},
		maintain(leader) {
			const {term, voters} = network.getState(leader);
			const started = startedByTerm.get(term);
			const outcome = started && network.getOutcome(started.id);
			if (started !== undefined && outcome === undefined) {
				return;
			}

			startedByTerm.delete(term);
			if (outcome?.type === 'failed' && outcome.failure.includes('learnerTooSlow') && started?.change.type === 'add') {
				retryAtMs.set(`${leader}>${started.change.voter.node}`, network.getNowMs() + failedVoterRetryDelayMs);
			}

			const self = toBrand<NodeId>(leader);
			const stalled = listStalledVoters(network.getState(leader), {self, nowMs: network.getLocalMs(leader), timeoutMs: absenceTimeoutMs});
			const isUnlinked = (node: NodeId) => network.getNowMs() - (linkedAtMs.get(`${leader}>${node}`) ?? 0) > absenceTimeoutMs;
			const input: VoterChangeInput = {
				self,
				voters,
				hosts: listHosts(leader),
				isDeferred: node => network.getNowMs() < (retryAtMs.get(`${leader}>${node}`) ?? 0),
				getFailedAtMs: node => retryAtMs.get(`${leader}>${node}`),
				wantedVoters,
				isReachable: node => node === self || network.isLinked(leader, node),
				isAbsent: node => node === self
					? isDiskHanging(network.getState(leader), {nowMs: network.getLocalMs(leader), timeoutMs: absenceTimeoutMs})
					: isUnlinked(node) || stalled.some(voter => voter.node === node),
			};
			if (isLeaderReplaceable(input)) {
				network.giveWay(leader);
				return;
			}

			const change = chooseVoterChange(input);
			if (change !== undefined) {
				startedByTerm.set(term, {id: network.changeVoters(leader, change), change});
			}
		},
	};
}

/** A test network whose leader maintains the set of voters, and proposes a command now and then. */
export type MaintainedNetwork = {
	/** Runs the network and calls `check` every 50 ms. */
	readonly run: (durationMs: number, check?: () => void) => void;
};

/** Starts to maintain the voters of a network. All nodes with disks count as hosts that joined. */
export function createMaintainedNetwork({network, names, wantedVoters}: {
	readonly network: TestNetwork;
	readonly names: readonly string[];
	readonly wantedVoters: number;
}): MaintainedNetwork {
	const {recordLinks, maintain} = createVoterMaintenance({
		network,
		names,
		wantedVoters,
		listHosts: () => names.map(name => ({node: toBrand<NodeId>(name), storeId: network.getStoreId(name) ?? toBrand<StoreId>('')})),
	});
	let proposalCount = 0;

	const step = () => {
		network.run(stepMs);
		recordLinks();
		const nowMs = network.getNowMs();
		for (const leader of names.filter(name => network.hasLeaderLease(name))) {
			if (nowMs % checkPeriodMs === 0) {
				maintain(leader);
			}

			if (nowMs % proposalPeriodMs === 0) {
				proposalCount += 1;
				network.propose(leader, `command ${proposalCount}`);
			}
		}
	};

	return {
		run(durationMs, check) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				step();
				check?.();
			}
		},
	};
}
