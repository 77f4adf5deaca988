/** How long an unanswered message about a claim waits before it is sent again, in milliseconds. */
export const claimResendMs = 150;
/** How long a finished or lost record is kept for resends, in milliseconds. */
export const claimRetentionMs = 3_600_000;
/** The most bytes of base64 that one kept answer may have. */
export const maximumStoredAnswerBytes = 262_144;
/**
 * How long a new owner waits before it answers for a range that a lost member owned, in milliseconds:
 * the configuration lease of the lost member, with a margin for clocks of different rates.
 */
export const takeoverWaitMs = 2500;
