/** The largest frame body that either end accepts. */
export const maximumFrameBytes = 1024 * 1024;
/** The largest frame body accepted before the sender has proved who it is. */
export const maximumHandshakeFrameBytes = 4096;
/** How much may wait in one connection's send buffer before messages are dropped. */
export const maximumSendBufferBytes = 2 * 1024 * 1024;
/** How many accepted connections may be unauthenticated at once. */
export const maximumUnauthenticatedConnections = 64;
/** How many messages wait for a link that is being opened on demand. */
export const maximumQueuedMessages = 64;
/** How long a waiting message is worth sending. */
export const queuedMessageLifetimeMs = 1000;
/** How often links are examined for heartbeats, mute peers and retries. */
export const linkTickPeriodMs = 200;
/** The bytes of the length prefix of a frame. */
export const framePrefixBytes = 4;
