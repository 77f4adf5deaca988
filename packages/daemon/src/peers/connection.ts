/**
 * One TCP connection of a peer link: does the handshake, sends and receives frames, and records when
 * the connection was last used.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {
	CancelTimer, MonotonicMs, NodeId, TimerService,
} from '@samphiremill/common';
import type {ConnectionId} from '@samphiremill/core';
import {maximumFrameBytes, maximumHandshakeFrameBytes, maximumSendBufferBytes} from './constants.js';
import type {PeerCounterStore} from './counters.js';
import {createFrameDecoder, encodeFrame, type FrameError} from './frames.js';
import {
	createHello, createNonce, createProof, isHandshakeMessage, isProofValid, type HandshakeMessage, type LinkEnd,
} from './handshake.js';

/** When a connection was last used, on the timer service's clock. */
export type ConnectionTimes = {
	readonly lastReceivedAtMs: MonotonicMs;
	readonly lastSentAtMs: MonotonicMs;
	/** The last frame in either direction that is not a heartbeat. */
	readonly lastUsedAtMs: MonotonicMs;
};

/** The result of sending a frame; only `sent` means that it was written to the socket. */
export type SendOutcome = 'sent' | 'bufferFull' | 'tooLarge';

/** How a frame is sent. */
export type SendOptions = {
	/** Whether it is a heartbeat, which doesn't count as use of the connection. */
	readonly isHeartbeat?: boolean;
	/** How long it may wait for other frames, so that they are written together, in milliseconds. */
	readonly delayMs?: number;
};

/** A connection that is in its handshake or established. */
export type PeerConnection = {
	readonly id: ConnectionId;
	/** Accepts the received `hello` by answering it with `challenge`. */
	readonly sendChallenge: () => void;
	readonly send: (value: unknown, options?: SendOptions) => SendOutcome;
	readonly destroy: () => void;
	readonly getTimes: () => ConnectionTimes;
	/** @returns The identity that the other end claims; authenticated once the connection is established. */
	readonly getRemoteEnd: () => LinkEnd | undefined;
};

/** Configuration, dependencies and callbacks of a connection. */
export type PeerConnectionOptions = {
	readonly id: ConnectionId;
	readonly socket: Socket;
	readonly self: Omit<LinkEnd, 'nonce'>;
	/** The node that is dialled; `undefined` on an accepted connection. */
	readonly dialledNode: NodeId | undefined;
	readonly secret: string;
	readonly timers: Pick<TimerService, 'getNow' | 'scheduleOnce'>;
	readonly counters: PeerCounterStore;
	readonly onHello: (from: NodeId) => void;
	readonly onEstablished: (from: LinkEnd) => void;
	/** Called with the reason for which received bytes are not valid frames. The connection is closed then. */
	readonly onFrameError: (error: FrameError, isEstablished: boolean) => void;
	/** Called with an error that handling a frame threw. The connection is closed then. */
	readonly onUnexpectedError: (err: unknown) => void;
	/** Handles a frame received after the handshake. @returns Whether the frame counts as use of the connection. */
	readonly onFrame: (from: NodeId, frame: unknown) => boolean;
	readonly onClosed: () => void;
};

/**
 * Creates the connection of a socket. On a dialled connection the handshake starts once the socket is connected.
 */
export function createPeerConnection(options: PeerConnectionOptions): PeerConnection {
	const {socket, secret, dialledNode, counters, timers} = options;
	const {getNow} = timers;
	const localEnd: LinkEnd = {...options.self, nonce: createNonce()};
	const decoder = createFrameDecoder();
	let remoteEnd: LinkEnd | undefined;
	let isEstablished = false;
	let times: ConnectionTimes = {lastReceivedAtMs: getNow(), lastSentAtMs: getNow(), lastUsedAtMs: getNow()};

	let unsentFrames: Uint8Array[] = [];
	let unsentBytes = 0;
	/** Whether the frames are written once the event loop has handled what has arrived. */
	let isFlushDue = false;
	let cancelDelayedFlush: CancelTimer | undefined;

	const flush = () => {
		isFlushDue = false;
		cancelDelayedFlush?.();
		cancelDelayedFlush = undefined;
		const frames = unsentFrames;
		unsentFrames = [];
		unsentBytes = 0;
		if (!socket.destroyed && frames.length > 0) {
			counters.add('writes');
			socket.write(frames.length === 1 ? frames[0] ?? '' : Buffer.concat(frames));
		}
	};

	// All that is sent while the event loop handles what has arrived goes to the socket in one write. A leader sends to
	// each of a few hosts for each of many answers.
	const append = (frame: Uint8Array, delayMs: number) => {
		unsentFrames.push(frame);
		unsentBytes += frame.length;
		if (delayMs > 0) {
			cancelDelayedFlush ??= isFlushDue ? undefined : timers.scheduleOnce(delayMs, flush);
		} else if (!isFlushDue) {
			isFlushDue = true;
			setImmediate(flush);
		}
	};

	// A value that JSON cannot hold, for example one that is nested too deeply, does not fit into a frame either.
	const encode = (value: unknown): Uint8Array | undefined => {
		try {
			return encodeFrame(value);
		} catch {
			return undefined;
		}
	};

	const write = (value: unknown, {isHeartbeat = false, delayMs = 0}: SendOptions = {}): SendOutcome => {
		const frame = encode(value);
		if (frame === undefined || frame.length > maximumFrameBytes) {
			counters.add('oversizedMessages');
			return 'tooLarge';
		}

		if (socket.destroyed || socket.writableLength + unsentBytes + frame.length > maximumSendBufferBytes) {
			return 'bufferFull';
		}

		append(frame, delayMs);
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

	// An error must not leave the socket's handler, where it would end the process. After it the state of the link is not
	// certain, so the connection is closed.
	const handleFrameSafely = (frame: unknown) => {
		try {
			handleFrame(frame);
		} catch (err) {
			counters.add('malformedFrames');
			socket.destroy();
			options.onUnexpectedError(err);
		}
	};

	// Returns whether there was a frame.
	const handleNextFrame = (): boolean => {
		const decoded = decoder.readFrame(isEstablished ? maximumFrameBytes : maximumHandshakeFrameBytes);
		if (!decoded.ok) {
			counters.add('malformedFrames');
			socket.destroy();
			options.onFrameError(decoded.err, isEstablished);
			return false;
		}

		if (decoded.value === undefined) {
			return false;
		}

		handleFrameSafely(decoded.value.value);
		return true;
	};

	socket.setNoDelay(true);
	socket.on('data', (chunk: Uint8Array) => {
		counters.add('reads');
		counters.add('receivedBytes', chunk.length);
		times = {...times, lastReceivedAtMs: getNow()};
		decoder.addChunk(chunk);
		while (!socket.destroyed && handleNextFrame()) {
			// Each frame may change the limit of the next one.
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
