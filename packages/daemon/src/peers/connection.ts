/**
 * One TCP connection of a peer link: its handshake, its frames, and when it was last used.
 */
import type {Socket} from 'node:net';
import process from 'node:process';
import type {MonotonicMs, NodeId} from '@samphiremill/common';
import type {ConnectionId} from '@samphiremill/core';
import {maximumFrameBytes, maximumHandshakeFrameBytes, maximumSendBufferBytes} from './constants.js';
import type {PeerCounterStore} from './counters.js';
import {createFrameDecoder, encodeFrame} from './frames.js';
import {
	createHello, createNonce, createProof, isHandshakeMessage, isProofValid, type HandshakeMessage, type LinkEnd,
} from './handshake.js';

/** When a connection was last used, on the timer service's clock. */
export type ConnectionTimes = {
	readonly lastReceivedAtMs: MonotonicMs;
	readonly lastSentAtMs: MonotonicMs;
	/** Heartbeats do not count as use. */
	readonly lastUsedAtMs: MonotonicMs;
};

/** What became of a frame that was to be sent. */
export type SendOutcome = 'sent' | 'bufferFull' | 'tooLarge';

/** A connection that is being authenticated or in use. */
export type PeerConnection = {
	readonly id: ConnectionId;
	/** Goes on with the handshake after a `hello`. */
	readonly sendChallenge: () => void;
	readonly send: (value: unknown, isHeartbeat?: boolean) => SendOutcome;
	readonly destroy: () => void;
	readonly getTimes: () => ConnectionTimes;
	/** @returns The other end as it named itself; proved once the connection is established. */
	readonly getRemoteEnd: () => LinkEnd | undefined;
};

/** What a connection needs, and what it reports to. */
export type PeerConnectionOptions = {
	readonly id: ConnectionId;
	readonly socket: Socket;
	readonly self: Omit<LinkEnd, 'nonce'>;
	/** The node that is dialled; absent on an accepted connection. */
	readonly dialledNode: NodeId | undefined;
	readonly secret: string;
	readonly getNow: () => MonotonicMs;
	readonly counters: PeerCounterStore;
	readonly onHello: (from: NodeId) => void;
	readonly onEstablished: (from: LinkEnd) => void;
	/** A frame after the handshake. @returns Whether it was more than a heartbeat. */
	readonly onFrame: (from: NodeId, frame: unknown) => boolean;
	readonly onClosed: () => void;
};

/**
 * Starts the handshake on a socket.
 *
 * @param options - The socket, this end's identity, and the callbacks.
 * @returns The connection.
 */
export function createPeerConnection(options: PeerConnectionOptions): PeerConnection {
	const {socket, secret, dialledNode, getNow, counters} = options;
	const localEnd: LinkEnd = {...options.self, nonce: createNonce()};
	const decoder = createFrameDecoder();
	let remoteEnd: LinkEnd | undefined;
	let isEstablished = false;
	let times: ConnectionTimes = {lastReceivedAtMs: getNow(), lastSentAtMs: getNow(), lastUsedAtMs: getNow()};

	// Frames of one turn leave in one write.
	const corkUntilNextTick = () => {
		if (socket.writableCorked === 0) {
			socket.cork();
			process.nextTick(() => {
				socket.uncork();
			});
		}
	};

	const write = (value: unknown, isHeartbeat = false): SendOutcome => {
		const frame = encodeFrame(value);
		if (frame.length > maximumFrameBytes) {
			counters.add('oversizedMessages');
			return 'tooLarge';
		}

		if (socket.destroyed || socket.writableLength + frame.length > maximumSendBufferBytes) {
			return 'bufferFull';
		}

		corkUntilNextTick();
		socket.write(frame);
		counters.add('sentFrames');
		counters.add('sentBytes', frame.length);
		times = {...times, lastSentAtMs: getNow(), ...(!isHeartbeat && {lastUsedAtMs: getNow()})};
		return 'sent';
	};

	const writeHandshake = (message: HandshakeMessage) => {
		write(message);
	};

	const rejectHandshake = () => {
		counters.add('rejectedHandshakes');
		socket.destroy();
	};

	const establish = (end: LinkEnd) => {
		remoteEnd = end;
		isEstablished = true;
		options.onEstablished(end);
	};

	const handleHello = ({from, to}: HandshakeMessage & {type: 'hello'}) => {
		if (dialledNode !== undefined || remoteEnd !== undefined || to !== localEnd.node) {
			rejectHandshake();
			return;
		}

		remoteEnd = from;
		options.onHello(from.node);
	};

	const handleChallenge = ({from, proof}: HandshakeMessage & {type: 'challenge'}) => {
		const ends = {secret, dialler: localEnd, acceptor: from};
		if (from.node !== dialledNode || !isProofValid(proof, {...ends, prover: 'acceptor'})) {
			rejectHandshake();
			return;
		}

		writeHandshake({type: 'proof', proof: createProof({...ends, prover: 'dialler'})});
		establish(from);
	};

	const handleProof = ({proof}: HandshakeMessage & {type: 'proof'}) => {
		if (dialledNode !== undefined || remoteEnd === undefined) {
			rejectHandshake();
			return;
		}

		const ends = {secret, dialler: remoteEnd, acceptor: localEnd};
		if (!isProofValid(proof, {...ends, prover: 'dialler'})) {
			rejectHandshake();
			return;
		}

		establish(remoteEnd);
	};

	const handleHandshake = (frame: unknown) => {
		if (!isHandshakeMessage(frame)) {
			rejectHandshake();
		} else if (frame.type === 'hello') {
			handleHello(frame);
		} else if (frame.type === 'challenge') {
			handleChallenge(frame);
		} else {
			handleProof(frame);
		}
	};

	const handleFrame = (frame: unknown) => {
		counters.add('receivedFrames');
		if (!isEstablished || remoteEnd === undefined) {
			handleHandshake(frame);
			return;
		}

		if (options.onFrame(remoteEnd.node, frame)) {
			times = {...times, lastUsedAtMs: getNow()};
		}
	};

	socket.setNoDelay(true);
	socket.on('data', (chunk: Uint8Array) => {
		counters.add('receivedBytes', chunk.length);
		times = {...times, lastReceivedAtMs: getNow()};
		const decoded = decoder.decode(chunk, isEstablished ? maximumFrameBytes : maximumHandshakeFrameBytes);
		if (!decoded.ok) {
			counters.add('malformedFrames');
			socket.destroy();
			return;
		}

		for (const frame of decoded.value) {
			if (socket.destroyed) {
				return;
			}

			handleFrame(frame);
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', options.onClosed);
	if (dialledNode !== undefined) {
		socket.on('connect', () => {
			writeHandshake(createHello({from: localEnd, to: dialledNode}));
		});
	}

	return {
		id: options.id,
		sendChallenge() {
			if (remoteEnd !== undefined) {
				const proof = createProof({
					secret, prover: 'acceptor', dialler: remoteEnd, acceptor: localEnd,
				});
				writeHandshake({type: 'challenge', from: localEnd, proof});
			}
		},
		send: write,
		destroy() {
			socket.destroy();
		},
		getTimes: () => times,
		getRemoteEnd: () => remoteEnd,
	};
}
