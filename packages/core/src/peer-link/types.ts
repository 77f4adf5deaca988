/**
 * Types of the lifecycle of the single link between this entry host and a peer.
 */
import type {Brand, MonotonicMs, NodeId} from '@samphiremill/common';

/** The id of one TCP connection of this process. Ids are never reused. */
export type ConnectionId = Brand<number, 'ConnectionId'>;

/** Timings of a link in milliseconds. */
export type PeerLinkConfig = {
	/** How long connecting and authenticating may take. */
	readonly dialTimeoutMs: number;
	/** The longest time without sending before a heartbeat is sent. */
	readonly heartbeatPeriodMs: number;
	/** The longest time without receiving before a connection counts as mute and is closed. */
	readonly muteTimeoutMs: number;
	/** How long a link that was opened on demand stays open without use. */
	readonly idleCloseMs: number;
	/** How long this node's own dial takes precedence over a dial from the peer, if this node has the lower id. */
	readonly simultaneousDialMs: number;
	readonly firstBackoffMs: number;
	readonly maximumBackoffMs: number;
};

/** Why a connection is closed. */
export type CloseReason = 'mute' | 'dialTimeout' | 'replaced' | 'idle' | 'simultaneousDial' | 'stopped';

/** An event of a link. */
export type PeerLinkEvent
	/** A message is waiting to be sent. */
	= | {
		readonly type: 'peerLink/wanted';
		readonly nowMs: MonotonicMs;
		/** An unused id, for the dial that this event may start. */
		readonly freshConnection: ConnectionId;
	}
	/** The peer dialled and sent its id, which is not authenticated yet. */
	| {readonly type: 'peerLink/helloReceived'; readonly connection: ConnectionId; readonly nowMs: MonotonicMs}
	/** Both ends of the connection have proved that they know the shared secret. */
	| {readonly type: 'peerLink/established'; readonly connection: ConnectionId; readonly nowMs: MonotonicMs}
	| {
		readonly type: 'peerLink/closed';
		readonly connection: ConnectionId;
		readonly nowMs: MonotonicMs;
		/** A number in [0, 1) for the jitter of the backoff. */
		readonly jitter: number;
	}
	| {
		readonly type: 'peerLink/tick';
		readonly nowMs: MonotonicMs;
		/** An unused id, for the dial that this event may start. */
		readonly freshConnection: ConnectionId;
		readonly jitter: number;
		readonly lastReceivedAtMs: MonotonicMs;
		readonly lastSentAtMs: MonotonicMs;
		/** When something other than a heartbeat was last sent or received. */
		readonly lastUsedAtMs: MonotonicMs;
	};

/** An effect of a link that the shell carries out. */
export type PeerLinkEffect
	= | {readonly type: 'peerLink/dial'; readonly connection: ConnectionId}
		/** Continues the handshake of a connection that the peer dialled. */
		| {readonly type: 'peerLink/accept'; readonly connection: ConnectionId}
		| {readonly type: 'peerLink/close'; readonly connection: ConnectionId; readonly reason: CloseReason}
		| {readonly type: 'peerLink/sendHeartbeat'; readonly connection: ConnectionId}
		| {readonly type: 'peerLink/changed'; readonly isUp: boolean};

/** The context of a link's state machine. */
export type PeerLinkContext = {
	readonly cfg: PeerLinkConfig;
	readonly self: NodeId;
	readonly peer: NodeId;
	/** A permanent link is kept open and redialled; any other link opens on demand. */
	readonly isPermanent: boolean;
	/** The connection being dialled, or the one in use. */
	readonly connection: ConnectionId | undefined;
	/** When the current state of the machine was entered. */
	readonly enteredAtMs: MonotonicMs;
	readonly retryAtMs: MonotonicMs;
	readonly failedDials: number;
};
