/** Time limit for a client to send a request's headers, in milliseconds. */
export const headersTimeoutMs = 10_000;
/** Time limit for a client to send a complete request, in milliseconds. */
export const requestTimeoutMs = 30_000;
/** How long an idle kept-alive connection of a client stays open, in milliseconds. */
export const keepAliveTimeoutMs = 15_000;
/** Interval at which the server checks for slow clients, in milliseconds. */
export const connectionsCheckingIntervalMs = 1000;
/** Limit on the total size of one request's headers, in bytes. */
export const maximumHeaderBytes = 16_384;
/** Limit on the number of headers in one request. */
export const maximumHeadersCount = 100;
/** Limit on the size of a JSON document in a minion's or operator's request, in bytes. */
export const maximumDocumentBytes = 262_144;
/** Interval at which a closing server closes connections that have become idle, in milliseconds. */
export const idleSweepPeriodMs = 50;
