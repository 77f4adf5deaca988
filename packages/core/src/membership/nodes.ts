/**
 * Failure detection between the entry hosts of one data centre. Each one receives the heartbeats of all
 * others, and probes a suspect through the other peers before it regards the suspect as dead.
 */
import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import type {Step} from '../step.js';
import type {
	MemberStatus, MembershipConfig, MembershipMessage, NodeAddress, NodeHealth,
} from './types.js';

/** The state of one other entry host of the data centre. */
export type PeerRecord = MemberStatus & {
	/** The sequence number of the latest known heartbeat. */
	readonly sequence: number;
	/** When this node itself last received a heartbeat of the peer. */
	readonly lastHeartbeatAtMs: MonotonicMs;
	/** The latest time at which any node is known to have received a heartbeat of the peer. `suspectPeer` moves it back. */
	readonly evidenceAtMs: MonotonicMs;
	readonly heartbeatSentAtMs: MonotonicMs;
};

/** The other entry hosts of the data centre, and the sequence of this node's own heartbeats. */
export type NodesState = {
	readonly sequence: number;
	readonly startedAtMs: MonotonicMs;
	readonly isLeaving: boolean;
	readonly peers: ImmutableMap<NodeId, PeerRecord>;
};

/** An effect that sends a message to another entry host. */
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
		lastHeartbeatAtMs: neverMs,
		evidenceAtMs: neverMs,
		heartbeatSentAtMs: neverMs,
	};
}

/** Creates the state before any heartbeat was received. Only addresses of the own data centre are used. */
export function createNodesState(cfg: MembershipConfig, nowMs: MonotonicMs): NodesState {
	const peers = cfg.addresses.filter(({node, dataCentre}) => node !== cfg.self.node && dataCentre === cfg.self.dataCentre);
	return {
		sequence: 0,
		startedAtMs: nowMs,
		isLeaving: false,
		peers: createMap(peers.map(address => [address.node, createPeerRecord(address, nowMs)])),
	};
}

/** Lists the peers that are alive or suspect. */
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
 * Applies a heartbeat, which makes the sender alive. A delayed or duplicated heartbeat that is not newer
 * than the latest known one is ignored, and so is one of an incarnation that left or was replaced.
 */
export function receiveHeartbeat(state: NodesState, {from, message, nowMs}: Received<'membership/heartbeat'>): NodesState {
	const {incarnation, sequence} = message;
	return updatePeer(state, from, peer => isNewer(peer, incarnation, sequence)
		? {
			...setHealth(peer, 'alive', nowMs), incarnation, sequence, lastHeartbeatAtMs: nowMs, evidenceAtMs: nowMs,
		}
		: peer);
}

/**
 * Applies the notice of a planned stop. Only a newer incarnation makes the sender alive again. A notice
 * of an older incarnation is ignored.
 */
export function receiveLeave(state: NodesState, {from, message, nowMs}: Received<'membership/leave'>): NodesState {
	return updatePeer(state, from, peer => message.incarnation >= peer.incarnation
		? {...setHealth(peer, 'left', nowMs), incarnation: message.incarnation}
		: peer);
}

/**
 * Answers a probe if this node itself has ever received a heartbeat of the target. Answers of other nodes
 * do not count, so that relayed reports cannot keep a dead node alive.
 */
export function answerProbe(state: NodesState, {from, message, nowMs}: Received<'membership/probe'>): readonly MembershipSend[] {
	const target = state.peers.get(message.target);
	if (target === undefined || target.lastHeartbeatAtMs === neverMs) {
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
			heardAgoMs: nowMs - target.lastHeartbeatAtMs,
		},
	}];
}

/**
 * Applies the answer to a probe: a later heartbeat that another node received is evidence that the target
 * is alive. The next tick derives the health of the target from it.
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
 * Makes a peer suspect from the next tick on, after its link was lost, so that the other peers are asked
 * about it at once. A lost link alone does not make the peer dead.
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
 * Sends the heartbeats that are due, updates the health of every peer, and asks the live peers about
 * each suspect.
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

/** Stops the heartbeats, and announces the planned stop to every live peer. */
export function leaveNodes(state: NodesState, cfg: MembershipConfig): NodesStep {
	const message = {type: 'membership/leave' as const, incarnation: cfg.incarnation};
	return {
		state: {...state, isLeaving: true},
		effects: listLivePeers(state).map(to => ({type: 'peer/send', to, message})),
	};
}

/** Lists the entry hosts of the own data centre, including this one, in order of id. */
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
