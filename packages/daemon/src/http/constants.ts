/** How long a client may take to send a request's headers, in milliseconds. */
export const headersTimeoutMs = 10_000;
/** How long a client may take to send a whole request, in milliseconds. */
export const requestTimeoutMs = 30_000;
/** How long an idle kept-alive connection of a client stays open, in milliseconds. */
export const keepAliveTimeoutMs = 15_000;
/** How often the server looks for slow clients, in milliseconds. */
export const connectionsCheckingIntervalMs = 1000;
/** The most bytes of headers in one request. */
export const maximumHeaderBytes = 16_384;
/** The most headers in one request. */
export const maximumHeadersCount = 100;
/** The most bytes of a JSON document in a minion's or operator's request. */
export const maximumDocumentBytes = 262_144;
/** How often a server that closes looks for connections that went idle, in milliseconds. */
export const idleSweepPeriodMs = 50;
