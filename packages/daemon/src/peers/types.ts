import type {
	NodeId, RandomSource, Result, TimerService,
} from '@samphiremill/common';
import type {NodeAddress, PeerLinkConfig} from '@samphiremill/core';
import type {FrameError} from './frames.js';

/** Why a request to a peer has no result. */
export type PeerRequestError
	/** The request was dropped before it was sent, for example because the send buffer or the queue is full: the peer never received it. */
	= | {readonly type: 'peer/notSent'}
		/** The link was lost or the request timed out: the peer may have executed the request. */
		| {readonly type: 'peer/noAnswer'}
		/** The peer answered with an error message. */
		| {readonly type: 'peer/failed'; readonly message: string};

/** Counters of all links since the start of this process. */
export type PeerCounters = {
	readonly sentFrames: number;
	readonly sentBytes: number;
	/** Writes to sockets; each sends all frames that are ready for a peer. */
	readonly writes: number;
	readonly receivedFrames: number;
	readonly receivedBytes: number;
	/** Reads from sockets. */
	readonly reads: number;
	/** Messages dropped because there was no link, its queue or send buffer was full, or they were queued for too long. */
	readonly droppedMessages: number;
	/** Messages dropped because they were larger than a frame may be. */
	readonly oversizedMessages: number;
	/** Answers to requests that had already ended, for example by a timeout. */
	readonly lateAnswers: number;
	/** Connections closed because a frame was too large or not JSON, or because a handler threw. */
	readonly malformedFrames: number;
	/** Connections closed because of a wrong proof, an unknown node, an invalid handshake or too many open handshakes. */
	readonly rejectedHandshakes: number;
	/** Connections closed because nothing was received within the mute timeout. */
	readonly muteConnections: number;
	readonly dials: number;
};

/** A change of the link to one peer. */
export type PeerLinkChange = {
	readonly peer: NodeId;
	readonly isUp: boolean;
	/** The peer's authenticated incarnation; `undefined` before the first handshake. */
	readonly incarnation: number | undefined;
};

/** A connection that was closed because of what its other end sent. */
export type RejectedConnection = {
	/** The other end, as far as it has named itself. */
	readonly peer: NodeId | undefined;
	/** Whether the handshake was over. */
	readonly isEstablished: boolean;
	readonly reason: FrameError;
};

/** Configuration, dependencies and callbacks of a transport. */
export type PeerTransportOptions = {
	readonly self: NodeAddress;
	/** Increases with every start of this node's process. */
	readonly incarnation: number;
	/** Every entry host; this one may be included. */
	readonly peers: readonly NodeAddress[];
	/** Finds the address of a node that is not in `peers`. Without it, connections from such nodes are rejected. */
	readonly resolvePeer?: (node: NodeId) => NodeAddress | undefined;
	/** The cluster secret, the same in the settings of every entry host. */
	readonly secret: string;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly cfg?: PeerLinkConfig;
	readonly onMessage: (from: NodeId, message: unknown) => void;
	readonly onLinkChanged: (change: PeerLinkChange) => void;
	/** Called when a connection is closed because a frame on it can't be read. */
	readonly onConnectionRejected?: (rejected: RejectedConnection) => void;
	/** Called with an error that a handler threw for a frame. The connection is closed then. */
	readonly onUnexpectedError?: (err: unknown) => void;
	/**
	 * Returns how long the answers to requests of a method may wait for other frames to the same peer, in milliseconds; 0 by
	 * default. They wait no longer than until anything else is sent there.
	 */
	readonly getAnswerDelayMs?: (method: string) => number;
	/** Handles requests from peers. Without it every request gets an error. */
	readonly onRequest?: (req: PeerRequest) => Promise<unknown>;
};

/** A request received from a peer. */
export type PeerRequest = {
	readonly from: NodeId;
	readonly method: string;
	readonly params: unknown;
};

/** A request to send to a peer. */
export type OutgoingPeerRequest = {
	readonly to: NodeId;
	readonly method: string;
	readonly params: unknown;
	readonly timeoutMs: number;
};

/** Authenticated links to the other entry hosts. */
export type PeerTransport = {
	/** Listens on this node's address and opens the permanent links. */
	readonly start: () => Promise<void>;
	/** Sends a message at most once: it may be lost, and the transport never resends it. */
	readonly send: (to: NodeId, message: unknown) => void;
	/** Sends a request. The promise never rejects: it resolves with the answer or with the reason why there is none. */
	readonly request: (req: OutgoingPeerRequest) => Promise<Result<unknown, PeerRequestError>>;
	/** Closes every link and stops listening. */
	readonly close: () => Promise<void>;
	readonly getCounters: () => PeerCounters;
	/** Lists the peers whose link is up. */
	readonly listLinkedPeers: () => readonly NodeId[];
};
