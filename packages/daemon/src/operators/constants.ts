/** Names a change; a resend carries the same value and gets the first answer. */
export const changeIdHeader = 'samphiremill-change-id';

/** The log index up to which the answering entry host has applied changes. */
export const appliedIndexHeader = 'samphiremill-applied-index';

/** `true` while the answering entry host's configuration lease is fresh. */
export const freshHeader = 'samphiremill-fresh';

export const maximumChangeIdCharacters = 128;

/** The window of the share report where the request names none. */
export const defaultShareWindowMs = 60_000;

/** When to come back after a change that could not be proposed. */
export const proposalRetryAfterMs = 1000;
