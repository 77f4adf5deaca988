/**
 * The entry hosts of the own data centre: each hears every other one's heartbeats, and asks the
 * rest before it believes that one is dead.
 */
import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import type {Step} from '../step.js';
import type {
	MemberStatus, MembershipConfig, MembershipMessage, NodeAddress, NodeHealth,
} from './types.js';

/** What is known of one other entry host of the data centre. */
export type PeerRecord = MemberStatus & {
	/** The sequence number of the newest heartbeat. */
	readonly sequence: number;
	/** When this node itself last heard the peer. */
	readonly heardAtMs: MonotonicMs;
	/** When anyone is known to have heard the peer. */
	readonly evidenceAtMs: MonotonicMs;
	readonly heartbeatSentAtMs: MonotonicMs;
};

/** The other entry hosts of the data centre, and this node's own heartbeats. */
export type NodesState = {
	readonly sequence: number;
	readonly startedAtMs: MonotonicMs;
	readonly isLeaving: boolean;
	readonly peers: ImmutableMap<NodeId, PeerRecord>;
};

/** A message for another entry host. */
export type MembershipSend = {
	readonly type: 'peer/send';
	readonly to: NodeId;
	readonly message: MembershipMessage;
};

type NodesStep = Step<NodesState, MembershipSend>;

const neverMs = toBrand<MonotonicMs>(Number.NEGATIVE_INFINITY);

function createPeerRecord({node, dataCentre}: NodeAddress, nowMs: MonotonicMs): PeerRecord {
	return {
		node,
		dataCentre,
		incarnation: 0,
		health: 'dead',
		sinceMs: nowMs,
		sequence: 0,
		heardAtMs: neverMs,
		evidenceAtMs: neverMs,
		heartbeatSentAtMs: neverMs,
	};
}

/**
 * @param cfg - The addresses, of which those in the own data centre matter here.
 * @param nowMs - The time of the start.
 * @returns The state before any heartbeat was heard.
 */
export function createNodesState(cfg: MembershipConfig, nowMs: MonotonicMs): NodesState {
	const peers = cfg.addresses.filter(({node, dataCentre}) => node !== cfg.self.node && dataCentre === cfg.self.dataCentre);
	return {
		sequence: 0,
		startedAtMs: nowMs,
		isLeaving: false,
		peers: createMap(peers.map(address => [address.node, createPeerRecord(address, nowMs)])),
	};
}

/**
 * @param state - The nodes.
 * @returns The peers that take part, those under suspicion among them.
 */
export function listLivePeers(state: NodesState): readonly NodeId[] {
	return [...state.peers.values()].filter(({health}) => health === 'alive' || health === 'suspect').map(({node}) => node);
}

function setHealth(peer: PeerRecord, health: NodeHealth, nowMs: MonotonicMs): PeerRecord {
	return peer.health === health ? peer : {...peer, health, sinceMs: nowMs};
}

function assessHealth({health, evidenceAtMs}: PeerRecord, cfg: MembershipConfig, nowMs: MonotonicMs): NodeHealth {
	const silentMs = nowMs - evidenceAtMs;
	if (health === 'left') {
		return 'left';
	}

	if (silentMs < cfg.timings.suspectAfterMs) {
		return 'alive';
	}

	return silentMs < cfg.timings.deadAfterMs ? 'suspect' : 'dead';
}

function updatePeer(state: NodesState, node: NodeId, update: (peer: PeerRecord) => PeerRecord): NodesState {
	const peer = state.peers.get(node);
	return peer === undefined ? state : {...state, peers: state.peers.set(node, update(peer))};
}

function isNewer(peer: PeerRecord, incarnation: number, sequence: number): boolean {
	if (incarnation !== peer.incarnation) {
		return incarnation > peer.incarnation;
	}

	return sequence > peer.sequence && peer.health !== 'left';
}

type Received<Type extends MembershipMessage['type']> = {
	readonly from: NodeId;
	readonly message: MembershipMessage & {type: Type};
	readonly nowMs: MonotonicMs;
};

/**
 * Takes a heartbeat. One that is older than what is known, delayed or repeated on its way, says
 * nothing; one of an incarnation that left or was replaced neither.
 *
 * @param state - The nodes.
 * @param received - The heartbeat, its sender and its time.
 * @returns The nodes, with the sender alive.
 */
export function receiveHeartbeat(state: NodesState, {from, message, nowMs}: Received<'membership/heartbeat'>): NodesState {
	const {incarnation, sequence} = message;
	return updatePeer(state, from, peer => isNewer(peer, incarnation, sequence)
		? {
			...setHealth(peer, 'alive', nowMs), incarnation, sequence, heardAtMs: nowMs, evidenceAtMs: nowMs,
		}
		: peer);
}

/**
 * @param state - The nodes.
 * @param received - The notice that the sender stops as planned.
 * @returns The nodes, with that incarnation of the sender gone for good.
 */
export function receiveLeave(state: NodesState, {from, message, nowMs}: Received<'membership/leave'>): NodesState {
	return updatePeer(state, from, peer => message.incarnation >= peer.incarnation
		? {...setHealth(peer, 'left', nowMs), incarnation: message.incarnation}
		: peer);
}

/**
 * Answers a probe with what this node itself has heard; what others told it does not count, so
 * that no rumour keeps a dead node alive.
 *
 * @param state - The nodes.
 * @param received - Who asks about whom.
 * @returns The answer, or nothing when the target was never heard.
 */
export function answerProbe(state: NodesState, {from, message, nowMs}: Received<'membership/probe'>): readonly MembershipSend[] {
	const target = state.peers.get(message.target);
	if (target === undefined || target.heardAtMs === neverMs) {
		return [];
	}

	return [{
		type: 'peer/send',
		to: from,
		message: {
			type: 'membership/probeAnswer',
			target: target.node,
			incarnation: target.incarnation,
			sequence: target.sequence,
			heardAgoMs: nowMs - target.heardAtMs,
		},
	}];
}

/**
 * @param state - The nodes.
 * @param received - When another node heard the target.
 * @returns The nodes, with the target alive if that was recent enough.
 */
export function receiveProbeAnswer(state: NodesState, {message, nowMs}: Received<'membership/probeAnswer'>): NodesState {
	const {target, incarnation, sequence, heardAgoMs} = message;
	return updatePeer(state, target, peer => {
		const evidenceAtMs = toBrand<MonotonicMs>(nowMs - heardAgoMs);
		return isNewer(peer, incarnation, sequence) && evidenceAtMs > peer.evidenceAtMs
			? {
				...peer, incarnation, sequence, evidenceAtMs,
			}
			: peer;
	});
}

/**
 * A lost link is a reason to ask the others at once, not yet one to believe the peer dead.
 *
 * @param state - The nodes.
 * @param options - Whose link was lost, the timings and the time.
 * @returns The nodes, with the peer under suspicion.
 */
export function suspectPeer(state: NodesState, {node, cfg, nowMs}: {
	readonly node: NodeId;
	readonly cfg: MembershipConfig;
	readonly nowMs: MonotonicMs;
}): NodesState {
	const suspectedAtMs = toBrand<MonotonicMs>(nowMs - cfg.timings.suspectAfterMs);
	return updatePeer(state, node, peer => peer.evidenceAtMs > suspectedAtMs ? {...peer, evidenceAtMs: suspectedAtMs} : peer);
}

function isHeartbeatDue({health, heartbeatSentAtMs}: PeerRecord, {timings}: MembershipConfig, nowMs: MonotonicMs): boolean {
	const isLive = health === 'alive' || health === 'suspect';
	const periodMs = isLive ? timings.heartbeatPeriodMs : timings.deadHeartbeatPeriodMs;
	return nowMs - heartbeatSentAtMs >= periodMs;
}

function createProbes(state: NodesState): readonly MembershipSend[] {
	const suspects = [...state.peers.values()].filter(({health}) => health === 'suspect');
	const helpers = listLivePeers(state);
	return suspects.flatMap(({node}) => helpers
		.filter(helper => helper !== node)
		.map(helper => ({type: 'peer/send' as const, to: helper, message: {type: 'membership/probe' as const, target: node}})));
}

/**
 * Sends the heartbeats that are due, judges every peer by the time, and has suspects probed.
 *
 * @param state - The nodes.
 * @param cfg - The timings.
 * @param nowMs - The time.
 * @returns The nodes as they stand now, and the messages to send.
 */
export function tickNodes(state: NodesState, cfg: MembershipConfig, nowMs: MonotonicMs): NodesStep {
	if (state.isLeaving) {
		return {state, effects: []};
	}

	const due = [...state.peers.values()].filter(peer => isHeartbeatDue(peer, cfg, nowMs)).map(({node}) => node);
	const sequence = due.length > 0 ? state.sequence + 1 : state.sequence;
	const heartbeat = {type: 'membership/heartbeat' as const, incarnation: cfg.incarnation, sequence};
	const peers = state.peers.map(peer => ({
		...setHealth(peer, assessHealth(peer, cfg, nowMs), nowMs),
		heartbeatSentAtMs: due.includes(peer.node) ? nowMs : peer.heartbeatSentAtMs,
	}));
	const next = {...state, sequence, peers};
	return {
		state: next,
		effects: [
			...due.map(to => ({type: 'peer/send' as const, to, message: heartbeat})),
			...createProbes(next),
		],
	};
}

/**
 * @param state - The nodes.
 * @param cfg - This node's incarnation.
 * @returns The nodes without further heartbeats, and the notice to every live peer.
 */
export function leaveNodes(state: NodesState, cfg: MembershipConfig): NodesStep {
	const message = {type: 'membership/leave' as const, incarnation: cfg.incarnation};
	return {
		state: {...state, isLeaving: true},
		effects: listLivePeers(state).map(to => ({type: 'peer/send', to, message})),
	};
}

/**
 * @param state - The nodes.
 * @param cfg - This node's place.
 * @returns Every entry host of the own data centre, this one among them, in order of id.
 */
export function listLocalMembers(state: NodesState, cfg: MembershipConfig): readonly MemberStatus[] {
	const {self, incarnation} = cfg;
	const own: MemberStatus = {
		node: self.node,
		dataCentre: self.dataCentre,
		incarnation,
		health: state.isLeaving ? 'left' : 'alive',
		sinceMs: state.startedAtMs,
	};
	return [own, ...state.peers.values()]
		.map(({node, dataCentre, incarnation, health, sinceMs}) => ({
			node, dataCentre, incarnation, health, sinceMs,
		}))
		.toSorted((left, right) => left.node < right.node ? -1 : 1);
}
