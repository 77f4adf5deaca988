/**
 * Links between entry hosts over TCP: at most one authenticated connection per pair of hosts,
 * whichever of them dialled. The reducer `reducePeerLink` decides the lifecycle of each link; this
 * module executes its effects.
 */
import {connect, createServer, type Socket} from 'node:net';
import {once} from 'node:events';
import {
	toBrand, type CancelTimer, type MonotonicMs, type NodeId,
} from '@samphiremill/common';
import {
	createPeerLinkState, defaultPeerLinkConfig, getUpConnection, needsTick, reducePeerLink,
	type ConnectionId, type NodeAddress, type PeerLinkEffect, type PeerLinkEvent, type PeerLinkState,
} from '@samphiremill/core';
import {
	createJSONRPCErrorResponse, createJSONRPCNotification, isJSONRPCRequest, isJSONRPCResponse, JSONRPCErrorCode, type JSONRPCRequest,
} from 'json-rpc-2.0';
import {createPeerConnection, type PeerConnection, type PeerConnectionOptions} from './connection.js';
import {
	linkTickPeriodMs, maximumUnauthenticatedConnections, maximumQueuedMessages, queuedMessageLifetimeMs,
} from './constants.js';
import {createPeerCounters} from './counters.js';
import {answerRequest, createPeerRpc} from './rpc.js';
import type {PeerTransport, PeerTransportOptions} from './types.js';

const messageMethod = 'message';
const heartbeatMethod = 'heartbeat';

type QueuedMessage = {
	readonly queuedAtMs: MonotonicMs;
	readonly payload: JSONRPCRequest;
};

type Link = {
	readonly address: NodeAddress;
	readonly state: PeerLinkState;
	readonly queuedMessages: readonly QueuedMessage[];
	readonly incarnation: number | undefined;
};

function isPermanentLink(self: NodeAddress, peer: NodeAddress): boolean {
	return self.dataCentre === peer.dataCentre || (self.isVoter && peer.isVoter);
}

/**
 * Creates the transport of one entry host. It opens no connection before `start`.
 *
 * Links inside the data centre and between voters are kept open. Any other link is opened when a
 * message is sent and closed after an idle timeout.
 */
export function createPeerTransport(options: PeerTransportOptions): PeerTransport {
	const {self, timers, random, cfg = defaultPeerLinkConfig} = options;
	const counters = createPeerCounters();
	const connections = new Map<ConnectionId, PeerConnection>();
	const unauthenticated = new Set<ConnectionId>();
	const links = new Map<NodeId, Link>();
	let nextConnection = 0;
	let isClosed = false;

	const createConnectionId = () => {
		nextConnection += 1;
		return toBrand<ConnectionId>(nextConnection);
	};

	const addLink = (address: NodeAddress) => {
		if (address.node === self.node) {
			return;
		}

		const state = createPeerLinkState({
			cfg,
			self: self.node,
			peer: address.node,
			isPermanent: isPermanentLink(self, address),
			nowMs: timers.getNow(),
		});
		links.set(address.node, {
			address, state, queuedMessages: [], incarnation: undefined,
		});
	};

	const findLink = (peer: NodeId): Link | undefined => {
		const address = links.has(peer) ? undefined : options.resolvePeer?.(peer);
		if (address !== undefined) {
			addLink(address);
		}

		return links.get(peer);
	};

	const updateLink = (peer: NodeId, change: Partial<Link>) => {
		const link = links.get(peer);
		if (link !== undefined) {
			links.set(peer, {...link, ...change});
		}
	};

	const findUpConnection = (peer: NodeId) => {
		const link = links.get(peer);
		const id = link && getUpConnection(link.state);
		return id === undefined ? undefined : connections.get(id);
	};

	const write = (peer: NodeId, payload: JSONRPCRequest): boolean => {
		const outcome = findUpConnection(peer)?.send(payload) ?? 'bufferFull';
		if (outcome === 'bufferFull') {
			counters.add('droppedMessages');
		}

		return outcome === 'sent';
	};

	const isExpired = ({queuedAtMs}: QueuedMessage) => timers.getNow() - queuedAtMs > queuedMessageLifetimeMs;

	const failIfRequest = ({payload: {id}}: QueuedMessage) => {
		if (id !== undefined) {
			rpc.failUnsent(id);
		}
	};

	const flushQueue = (peer: NodeId) => {
		const queuedMessages = links.get(peer)?.queuedMessages ?? [];
		updateLink(peer, {queuedMessages: []});
		for (const message of queuedMessages) {
			if (isExpired(message)) {
				counters.add('droppedMessages');
				failIfRequest(message);
			} else if (!write(peer, message.payload)) {
				failIfRequest(message);
			}
		}
	};

	const openConnection = (id: ConnectionId, details: Pick<PeerConnectionOptions, 'socket' | 'dialledNode'>) => {
		const connection = createPeerConnection({
			...details,
			id,
			self: {node: self.node, incarnation: options.incarnation},
			secret: options.secret,
			timers,
			counters,
			onHello(from) {
				if (links.has(from)) {
					handleEvent(from, {type: 'peerLink/helloReceived', connection: id, nowMs: timers.getNow()});
					return;
				}

				// The name is not authenticated yet, so no link is kept for it: it would be dialled for good.
				if (from !== self.node && options.resolvePeer?.(from) !== undefined) {
					connection.sendChallenge();
					return;
				}

				counters.add('rejectedHandshakes');
				connection.destroy();
			},
			onEstablished({node, incarnation}) {
				unauthenticated.delete(id);
				findLink(node);
				updateLink(node, {incarnation});
				handleEvent(node, {type: 'peerLink/established', connection: id, nowMs: timers.getNow()});
			},
			onFrame: handleFrame,
			onFrameError(reason, isEstablished) {
				options.onConnectionRejected?.({peer: details.dialledNode ?? connection.getRemoteEnd()?.node, isEstablished, reason});
			},
			onUnexpectedError(err) {
				options.onUnexpectedError?.(err);
			},
			onClosed() {
				unauthenticated.delete(id);
				connections.delete(id);
				const peer = details.dialledNode ?? connection.getRemoteEnd()?.node;
				if (peer !== undefined) {
					handleEvent(peer, {
						type: 'peerLink/closed', connection: id, nowMs: timers.getNow(), jitter: random(),
					});
				}
			},
		});
		connections.set(id, connection);
	};

	const dial = (peer: NodeId, id: ConnectionId) => {
		const address = links.get(peer)?.address;
		if (address === undefined || isClosed) {
			return;
		}

		counters.add('dials');
		openConnection(id, {socket: connect({host: address.host, port: address.peerPort}), dialledNode: peer});
	};

	const closeConnection = ({connection, reason}: PeerLinkEffect & {type: 'peerLink/close'}) => {
		if (reason === 'mute') {
			counters.add('muteConnections');
		}

		connections.get(connection)?.destroy();
	};

	const handleLinkChanged = (peer: NodeId, isUp: boolean) => {
		options.onLinkChanged({peer, isUp, incarnation: links.get(peer)?.incarnation});
		if (isUp) {
			flushQueue(peer);
		} else {
			rpc.failPending(peer);
		}
	};

	const executeEffect = (peer: NodeId, effect: PeerLinkEffect) => {
		switch (effect.type) {
			case 'peerLink/dial': {
				dial(peer, effect.connection);
				return;
			}

			case 'peerLink/accept': {
				connections.get(effect.connection)?.sendChallenge();
				return;
			}

			case 'peerLink/close': {
				closeConnection(effect);
				return;
			}

			case 'peerLink/sendHeartbeat': {
				connections.get(effect.connection)?.send(createJSONRPCNotification(heartbeatMethod), {isHeartbeat: true});
				return;
			}

			case 'peerLink/changed': {
				handleLinkChanged(peer, effect.isUp);
			}
		}
	};

	const handleEvent = (peer: NodeId, event: PeerLinkEvent) => {
		const link = links.get(peer);
		if (link === undefined) {
			return;
		}

		const {state, effects} = reducePeerLink(link.state, event);
		updateLink(peer, {state});
		for (const effect of effects) {
			executeEffect(peer, effect);
		}
	};

	const answer = async (from: NodeId, req: JSONRPCRequest) => {
		const res = await answerRequest({from, rpc: req}, options.onRequest);
		const connection = findUpConnection(from);
		if (connection?.send(res, {delayMs: options.getAnswerDelayMs?.(req.method) ?? 0}) === 'tooLarge') {
			connection.send(createJSONRPCErrorResponse(req.id ?? '', JSONRPCErrorCode.InternalError, 'the answer does not fit into a frame'));
		}
	};

	const handleFrame = (from: NodeId, frame: unknown): boolean => {
		if (isJSONRPCResponse(frame)) {
			rpc.receiveResponse(from, frame);
			return true;
		}

		if (!isJSONRPCRequest(frame) || frame.method === heartbeatMethod) {
			return false;
		}

		if (frame.id === undefined) {
			options.onMessage(from, frame.params);
		} else {
			void answer(from, frame);
		}

		return true;
	};

	const sendPayload = (to: NodeId, payload: JSONRPCRequest): boolean => {
		const link = findLink(to);
		if (link === undefined || isClosed) {
			counters.add('droppedMessages');
			return false;
		}

		if (findUpConnection(to) !== undefined) {
			return write(to, payload);
		}

		if (link.queuedMessages.length >= maximumQueuedMessages) {
			counters.add('droppedMessages');
			return false;
		}

		updateLink(to, {queuedMessages: [...link.queuedMessages, {queuedAtMs: timers.getNow(), payload}]});
		handleEvent(to, {type: 'peerLink/wanted', nowMs: timers.getNow(), freshConnection: createConnectionId()});
		return true;
	};

	const rpc = createPeerRpc({timers, counters, send: sendPayload});

	const dropExpiredMessages = (peer: NodeId, queuedMessages: readonly QueuedMessage[]) => {
		const unexpired = queuedMessages.filter(message => !isExpired(message));
		const expired = queuedMessages.filter(message => isExpired(message));
		counters.add('droppedMessages', expired.length);
		updateLink(peer, {queuedMessages: unexpired});
		for (const message of expired) {
			failIfRequest(message);
		}
	};

	const tickLink = (peer: NodeId, {state, queuedMessages}: Link) => {
		if (queuedMessages.length > 0) {
			dropExpiredMessages(peer, queuedMessages);
		}

		if (!needsTick(state)) {
			return;
		}

		const nowMs = timers.getNow();
		const times = findUpConnection(peer)?.getTimes() ?? {lastReceivedAtMs: nowMs, lastSentAtMs: nowMs, lastUsedAtMs: nowMs};
		handleEvent(peer, {
			type: 'peerLink/tick', nowMs, freshConnection: createConnectionId(), jitter: random(), ...times,
		});
	};

	const closeOverdueHandshakes = () => {
		for (const id of unauthenticated) {
			const connection = connections.get(id);
			const openedAtMs = connection?.getTimes().lastSentAtMs ?? timers.getNow();
			if (timers.getNow() - openedAtMs > cfg.dialTimeoutMs) {
				connection?.destroy();
			}
		}
	};

	const accept = (socket: Socket) => {
		if (isClosed || unauthenticated.size >= maximumUnauthenticatedConnections) {
			counters.add('rejectedHandshakes');
			socket.destroy();
			return;
		}

		const id = createConnectionId();
		unauthenticated.add(id);
		openConnection(id, {socket, dialledNode: undefined});
	};

	const tick = () => {
		closeOverdueHandshakes();
		for (const [peer, link] of links) {
			tickLink(peer, link);
		}
	};

	for (const address of options.peers) {
		addLink(address);
	}

	const server = createServer(accept);
	let cancelTick: CancelTimer = () => undefined;

	return {
		async start() {
			server.listen({host: self.host, port: self.peerPort});
			await once(server, 'listening');
			cancelTick = timers.scheduleEvery(linkTickPeriodMs, tick);
			tick();
		},
		send(to, message) {
			sendPayload(to, createJSONRPCNotification(messageMethod, message));
		},
		request: rpc.request,
		async close() {
			isClosed = true;
			cancelTick();
			for (const connection of connections.values()) {
				connection.destroy();
			}

			if (server.listening) {
				server.close();
				await once(server, 'close');
			}
		},
		getCounters: counters.get,
		listLinkedPeers: () => [...links.keys()].filter(peer => findUpConnection(peer) !== undefined),
	};
}
