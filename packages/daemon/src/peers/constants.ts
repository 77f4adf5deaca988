/** The largest frame body that either end accepts after the handshake. */
export const maximumFrameBytes = 1024 * 1024;
/** The largest frame body accepted from a sender that is not authenticated yet. */
export const maximumHandshakeFrameBytes = 4096;
/** The limit of one connection's send buffer. Messages that do not fit are dropped. */
export const maximumSendBufferBytes = 2 * 1024 * 1024;
/** How many accepted connections may be in their handshake at once. Further ones are closed. */
export const maximumUnauthenticatedConnections = 64;
/** How many messages one link queues while it is being opened. Further ones are dropped. */
export const maximumQueuedMessages = 64;
/** How long a message stays in the queue before it is dropped. */
export const queuedMessageLifetimeMs = 1000;
/** How often each link is checked for due heartbeats, mute connections and due retries. */
export const linkTickPeriodMs = 200;
/** The total length of the texts of log entries that are kept for the next peer, in UTF-16 code units. */
export const maximumEncodedEntryLength = 4 * 1024 * 1024;
/** The size of the length prefix of a frame. */
export const framePrefixBytes = 4;
