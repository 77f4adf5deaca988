/** Header with the change id. A resend with the same value gets the answer to the first request. */
export const changeIdHeader = 'samphiremill-change-id';

/** Header with the log index up to which the answering entry host has applied changes. */
export const appliedIndexHeader = 'samphiremill-applied-index';

/** Header that is `true` while the answering entry host holds a valid configuration lease. */
export const freshHeader = 'samphiremill-fresh';

export const maximumChangeIdCharacters = 128;

/** The window of the share report if the request specifies none. */
export const defaultShareWindowMs = 60_000;

/** How long an operator should wait before resending a request that could not be answered or whose result is unknown. */
export const proposalRetryAfterMs = 1000;
