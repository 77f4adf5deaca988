/**
 * The life of the one link between this entry host and a peer.
 */
import type {Brand, MonotonicMs, NodeId} from '@samphiremill/common';

/** One TCP connection of this process, never reused. */
export type ConnectionId = Brand<number, 'ConnectionId'>;

/** Timings of a link in milliseconds. */
export type PeerLinkConfig = {
	/** How long connecting and authenticating may take. */
	readonly dialTimeoutMs: number;
	/** The longest time without sending before a heartbeat is sent. */
	readonly heartbeatPeriodMs: number;
	/** The longest time without receiving before a connection is given up as mute. */
	readonly muteTimeoutMs: number;
	/** How long a link that is opened on demand stays open without use. */
	readonly idleCloseMs: number;
	/** How long an own dial takes precedence over one from the peer, where this node's id is lower. */
	readonly simultaneousDialMs: number;
	readonly firstBackoffMs: number;
	readonly maximumBackoffMs: number;
};

/** Why a connection is closed. */
export type CloseReason = 'mute' | 'dialTimeout' | 'replaced' | 'idle' | 'simultaneousDial' | 'stopped';

/** What happens to a link. */
export type PeerLinkEvent
	/** A message waits to be sent. */
	= | {
		readonly type: 'peerLink/wanted';
		readonly nowMs: MonotonicMs;
		/** An unused id, for the dial that this event may start. */
		readonly freshConnection: ConnectionId;
	}
	/** The peer dialled and named itself; it has not proved it yet. */
	| {readonly type: 'peerLink/helloReceived'; readonly connection: ConnectionId; readonly nowMs: MonotonicMs}
	/** Both ends of the connection have proved that they know the secret. */
	| {readonly type: 'peerLink/established'; readonly connection: ConnectionId; readonly nowMs: MonotonicMs}
	| {
		readonly type: 'peerLink/closed';
		readonly connection: ConnectionId;
		readonly nowMs: MonotonicMs;
		/** A number in [0, 1) for the jitter of the backoff. */
		readonly chance: number;
	}
	| {
		readonly type: 'peerLink/tick';
		readonly nowMs: MonotonicMs;
		/** An unused id, for the dial that this event may start. */
		readonly freshConnection: ConnectionId;
		readonly chance: number;
		readonly lastReceivedAtMs: MonotonicMs;
		readonly lastSentAtMs: MonotonicMs;
		/** When something other than a heartbeat was last sent or received. */
		readonly lastUsedAtMs: MonotonicMs;
	};

/** What the shell does for a link. */
export type PeerLinkEffect
	= | {readonly type: 'peerLink/dial'; readonly connection: ConnectionId}
		/** Go on with the handshake of a connection that the peer dialled. */
		| {readonly type: 'peerLink/accept'; readonly connection: ConnectionId}
		| {readonly type: 'peerLink/close'; readonly connection: ConnectionId; readonly reason: CloseReason}
		| {readonly type: 'peerLink/sendHeartbeat'; readonly connection: ConnectionId}
		| {readonly type: 'peerLink/changed'; readonly isUp: boolean};

/** What a link's machine remembers. */
export type PeerLinkContext = {
	readonly cfg: PeerLinkConfig;
	readonly self: NodeId;
	readonly peer: NodeId;
	/** A permanent link is kept open and redialled; any other opens on demand. */
	readonly isPermanent: boolean;
	/** The connection being dialled, or the one in use. */
	readonly connection: ConnectionId | undefined;
	/** When the present state was entered. */
	readonly enteredAtMs: MonotonicMs;
	readonly retryAtMs: MonotonicMs;
	readonly failedDials: number;
};
