import type {
	NodeId, RandomSource, Result, TimerService,
} from '@samphiremill/common';
import type {NodeAddress, PeerLinkConfig} from '@samphiremill/core';

/** Why a request to a peer has no answer. */
export type PeerRequestError
	/** No link came up in time, or the send buffer is full: the peer never saw the request. */
	= | {readonly type: 'peer/notSent'}
		/** The link was lost or the time ran out: the peer may have carried the request out. */
		| {readonly type: 'peer/noAnswer'}
		/** The peer answered with an error. */
		| {readonly type: 'peer/failed'; readonly message: string};

/** What the links of this process have done since its start. */
export type PeerCounters = {
	readonly sentFrames: number;
	readonly sentBytes: number;
	readonly receivedFrames: number;
	readonly receivedBytes: number;
	/** Messages dropped for want of a link or of room in its send buffer. */
	readonly droppedMessages: number;
	/** Messages that were too large for a frame. */
	readonly oversizedMessages: number;
	/** Answers to requests that were given up before. */
	readonly lateAnswers: number;
	/** Connections closed for a frame that was too large or not JSON. */
	readonly malformedFrames: number;
	/** Connections closed for a wrong proof, an unknown node or a broken handshake. */
	readonly rejectedHandshakes: number;
	/** Connections given up because nothing arrived on them. */
	readonly muteConnections: number;
	readonly dials: number;
};

/** A change of the link to one peer. */
export type PeerLinkChange = {
	readonly peer: NodeId;
	readonly isUp: boolean;
	/** The peer's incarnation as it proved it; absent before the first handshake. */
	readonly incarnation: number | undefined;
};

/** What the transport needs, and what it reports to. */
export type PeerTransportOptions = {
	readonly self: NodeAddress;
	/** Grows with every start of this process. */
	readonly incarnation: number;
	/** Every entry host; this one may be among them. */
	readonly peers: readonly NodeAddress[];
	/** Finds the address of a node that is not among the peers; without it such nodes are strangers. */
	readonly resolvePeer?: (node: NodeId) => NodeAddress | undefined;
	/** The cluster's secret, the same in every entry host's settings. */
	readonly secret: string;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly cfg?: PeerLinkConfig;
	readonly onMessage: (from: NodeId, message: unknown) => void;
	readonly onLinkChanged: (change: PeerLinkChange) => void;
	/** Answers requests of peers; without it every request fails. */
	readonly onRequest?: (req: PeerRequest) => Promise<unknown>;
};

/** A request that a peer sent. */
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
	/** Listens on the own address and opens the permanent links. */
	readonly start: () => Promise<void>;
	/** Sends a message, best effort: it may be lost, never repeated by the transport. */
	readonly send: (to: NodeId, message: unknown) => void;
	/** Sends a request and resolves, always, with its answer or with why there is none. */
	readonly request: (req: OutgoingPeerRequest) => Promise<Result<unknown, PeerRequestError>>;
	/** Closes every link and stops listening. */
	readonly close: () => Promise<void>;
	readonly getCounters: () => PeerCounters;
	/** @returns The peers whose link is up. */
	readonly listLinkedPeers: () => readonly NodeId[];
};
