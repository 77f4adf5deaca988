/**
 * Simulates the entry hosts of a whole fleet in one process and in virtual time. Runs membership and escrow, and counts
 * the bytes of the messages that they would send over the peer links.
 */
import {Buffer} from 'node:buffer';
import {
	toBrand, type DataCentreId, type MinionId, type MonotonicMs, type NodeId, type PoolId, type RegionId, type TeamId,
	type WorkerId,
} from '@samphiremill/common';
import {
	createEscrowState, createMembershipState, defaultEscrowTimings, defaultMembershipTimings, listHeldRights,
	membershipTickPeriodMs, minionForgetAfterMs, minionLeaseMs, minionRenewalPeriodMs, reduceEscrow, reduceMembership,
	type EscrowConfig, type EscrowEvent, type EscrowMessage, type EscrowState, type HeldRight, type MembershipEvent,
	type MembershipMessage, type MembershipPartConfig, type MembershipState, type MinionAnnouncement, type MinionsMessage,
	type NodeAddress,
} from '@samphiremill/core';

/** Size of a fleet. */
export type FleetSize = {
	readonly dataCentres: number;
	readonly entryHosts: number;
	readonly workers: number;
	readonly teams: number;
};

/** Messages and bytes that one entry host has sent and received. */
export type Traffic = {
	readonly sentBytes: number;
	readonly receivedBytes: number;
	readonly sentMessages: number;
};

/** The length prefix of a frame (4 bytes) and the TCP and IP headers (52 bytes). Each message counts as a segment of its own. */
const messageOverheadBytes = 4 + 52;
const oneWayDelayMs = 1;
const renewalPeriodMs = 1000;
const slotsPerMinion = 8;

type Message = EscrowMessage | MembershipMessage | MinionsMessage;
type Envelope = {readonly from: NodeId; readonly to: NodeId; readonly message: Message};

type FleetNode = {
	readonly address: NodeAddress;
	readonly membershipCfg: MembershipPartConfig;
	readonly escrowCfg: EscrowConfig;
	readonly tickPhaseMs: number;
	membership: MembershipState;
	escrow: EscrowState;
	isRunning: boolean;
	traffic: Traffic;
};

/** A simulated fleet. */
export type VirtualFleet = {
	readonly nodes: readonly NodeId[];
	readonly advance: (durationMs: number) => void;
	readonly crash: (node: NodeId) => void;
	readonly listNeighbours: (node: NodeId) => readonly NodeId[];
	readonly getHealth: (observer: NodeId, subject: NodeId) => string | undefined;
	readonly listRights: (node: NodeId) => readonly HeldRight[];
	readonly setWaitingJobs: (node: NodeId, waiting: number) => void;
	readonly commitView: (members: readonly NodeId[]) => void;
	readonly getTraffic: (node: NodeId) => Traffic;
	readonly resetTraffic: () => void;
	readonly getNow: () => number;
};

const noTraffic: Traffic = {sentBytes: 0, receivedBytes: 0, sentMessages: 0};

function isEscrowMessage(message: Message): message is EscrowMessage {
	return message.type.startsWith('escrow/');
}

function createAddresses({dataCentres, entryHosts}: FleetSize): readonly NodeAddress[] {
	return Array.from({length: entryHosts}, (_, index) => ({
		node: toBrand<NodeId>(`entry-${String(index).padStart(2, '0')}`),
		dataCentre: toBrand<DataCentreId>(`dc-${String(index % dataCentres).padStart(2, '0')}`),
		region: toBrand<RegionId>('region'),
		host: '10.0.0.1',
		peerPort: 7000,
		isVoter: index < 5,
	}));
}

function createAnnouncements({dataCentres, workers}: FleetSize): readonly MinionAnnouncement[] {
	return Array.from({length: workers}, (_, index) => ({
		minion: toBrand<MinionId>(`minion-${String(index).padStart(4, '0')}`),
		incarnation: 1_700_000_000_000 + index,
		worker: toBrand<WorkerId>(`worker-${String(index).padStart(4, '0')}`),
		pool: toBrand<PoolId>(`pool-${index % 25}`),
		dataCentre: toBrand<DataCentreId>(`dc-${String(index % dataCentres).padStart(2, '0')}`),
		host: '10.0.1.1',
		port: 9000,
		slots: slotsPerMinion,
		connections: 64,
	}));
}

/**
 * Creates a fleet with all entry hosts running. Each minion announces itself to one running entry host
 * of its data centre once per renewal period.
 */
export function createVirtualFleet(size: FleetSize): VirtualFleet {
	const addresses = createAddresses(size);
	const announcements = createAnnouncements(size);
	const teams = Array.from({length: size.teams}, (_, index) => toBrand<TeamId>(`team-${index}`));
	const nodes = new Map<NodeId, FleetNode>();
	const envelopesByArrivalMs = new Map<number, Envelope[]>();
	let nowMs = 0;

	const getMonotonicNow = () => toBrand<MonotonicMs>(nowMs);
	const getNode = (node: NodeId) => {
		const found = nodes.get(node);
		if (found === undefined) {
			throw new TypeError(`no node ${node}`);
		}

		return found;
	};

	const send = (node: FleetNode, to: NodeId, message: Message) => {
		const bytes = Buffer.byteLength(JSON.stringify({jsonrpc: '2.0', method: 'message', params: message})) + messageOverheadBytes;
		const {sentBytes, sentMessages} = node.traffic;
		node.traffic = {...node.traffic, sentBytes: sentBytes + bytes, sentMessages: sentMessages + 1};
		const receiver = getNode(to);
		receiver.traffic = {...receiver.traffic, receivedBytes: receiver.traffic.receivedBytes + bytes};
		const atMs = nowMs + oneWayDelayMs;
		envelopesByArrivalMs.set(atMs, [...envelopesByArrivalMs.get(atMs) ?? [], {from: node.address.node, to, message}]);
	};

	const applyToEscrow = (node: FleetNode, event: EscrowEvent) => {
		const step = reduceEscrow(node.escrow, event, node.escrowCfg);
		node.escrow = step.state;
		for (const effect of step.effects) {
			if (effect.type === 'peer/send') {
				send(node, effect.to, effect.message);
			}
		}
	};

	const applyToMembership = (node: FleetNode, event: MembershipEvent) => {
		const step = reduceMembership(node.membership, event, node.membershipCfg);
		node.membership = step.state;
		for (const effect of step.effects) {
			if (effect.type === 'peer/send') {
				send(node, effect.to, effect.message);
			} else if (effect.type === 'minions/changed' || effect.type === 'membership/changed') {
				applyToEscrow(node, {...effect, nowMs: getMonotonicNow()});
			}
		}
	};

	const receive = ({from, to, message}: Envelope) => {
		const node = getNode(to);
		if (!node.isRunning) {
			return;
		}

		if (isEscrowMessage(message)) {
			applyToEscrow(node, {
				type: 'peer/received', from, message, nowMs: getMonotonicNow(),
			});
		} else {
			applyToMembership(node, {
				type: 'peer/received', from, message, nowMs: getMonotonicNow(),
			});
		}
	};

	const listNodesInDataCentre = (dataCentre: DataCentreId) => [...nodes.values()].filter(({address}) => address.dataCentre === dataCentre);

	const renewMinions = () => {
		for (const [index, announcement] of announcements.entries()) {
			if ((nowMs + (index * 37)) % renewalPeriodMs === 0) {
				const running = listNodesInDataCentre(announcement.dataCentre).filter(({isRunning}) => isRunning);
				const node = running[index % running.length];
				if (node !== undefined) {
					applyToMembership(node, {type: 'minions/announced', announcement, nowMs: getMonotonicNow()});
				}
			}
		}
	};

	const advanceOneMs = () => {
		nowMs += 1;
		const arrivedEnvelopes = envelopesByArrivalMs.get(nowMs) ?? [];
		envelopesByArrivalMs.delete(nowMs);
		for (const envelope of arrivedEnvelopes) {
			receive(envelope);
		}

		renewMinions();
		for (const node of nodes.values()) {
			if (node.isRunning && (nowMs + node.tickPhaseMs) % membershipTickPeriodMs === 0) {
				applyToMembership(node, {type: 'membership/tick', nowMs: getMonotonicNow()});
				applyToEscrow(node, {type: 'escrow/tick', nowMs: getMonotonicNow()});
			}
		}
	};

	for (const [index, address] of addresses.entries()) {
		const localNodes = addresses.filter(({dataCentre}) => dataCentre === address.dataCentre).map(({node}) => node);
		const membershipCfg = {
			membership: {
				self: address, incarnation: 1, addresses, timings: defaultMembershipTimings,
			},
			minions: {
				self: address.node, leaseMs: minionLeaseMs, renewalPeriodMs: minionRenewalPeriodMs, forgetAfterMs: minionForgetAfterMs,
			},
		};
		nodes.set(address.node, {
			address,
			membershipCfg,
			escrowCfg: {
				self: address.node, dataCentre: address.dataCentre, incarnation: 1, localNodes, earlierTasksMs: 0, timings: defaultEscrowTimings,
			},
			tickPhaseMs: (index * 13) % membershipTickPeriodMs,
			membership: createMembershipState(membershipCfg, getMonotonicNow()),
			escrow: createEscrowState(getMonotonicNow()),
			isRunning: true,
			traffic: noTraffic,
		});
	}

	const setView = (members: readonly NodeId[], epoch: number) => {
		for (const node of members.map(member => getNode(member))) {
			const {dataCentre} = node.address;
			applyToEscrow(node, {type: 'escrow/viewChanged', view: {dataCentre, epoch, members}, nowMs: getMonotonicNow()});
			applyToEscrow(node, {type: 'escrow/configurationLease', isFresh: true, nowMs: getMonotonicNow()});
		}
	};

	for (const dataCentre of new Set(addresses.map(address => address.dataCentre))) {
		const local = listNodesInDataCentre(dataCentre);
		setView(local.map(({address}) => address.node), 1);
		for (const node of local) {
			const bounds = teams.map(team => ({
				team, amount: 10, version: 1, isRecalled: false,
			}));
			applyToEscrow(node, {type: 'escrow/teamBoundsChanged', bounds, nowMs: getMonotonicNow()});
		}
	}

	return {
		nodes: [...nodes.keys()],
		advance(durationMs) {
			for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1) {
				advanceOneMs();
			}
		},
		crash(node) {
			getNode(node).isRunning = false;
		},
		listNeighbours: node => listNodesInDataCentre(getNode(node).address.dataCentre).map(({address}) => address.node).filter(other => other !== node),
		getHealth: (observer, subject) => getNode(observer).membership.view.members.find(({node}) => node === subject)?.health,
		listRights: node => listHeldRights(getNode(node).escrow),
		setWaitingJobs(node, waiting) {
			const demands = Array.from({length: 25}, (_, index) => ({type: 'pool' as const, pool: toBrand<PoolId>(`pool-${index}`), waiting}));
			applyToEscrow(getNode(node), {type: 'escrow/demand', demands, nowMs: getMonotonicNow()});
		},
		commitView(members) {
			setView(members, 2);
		},
		getTraffic: node => getNode(node).traffic,
		resetTraffic() {
			for (const node of nodes.values()) {
				node.traffic = noTraffic;
			}
		},
		getNow: () => nowMs,
	};
}
