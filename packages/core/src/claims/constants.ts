/** Delay before an unanswered message about a claim is sent again, in milliseconds. */
export const claimResendMs = 150;
/** How long a finished or lost record is kept to answer resends, in milliseconds. */
export const claimRetentionMs = 3_600_000;
/** Maximum length of the base64 body of a stored answer, in bytes. */
export const maximumStoredAnswerBytes = 262_144;
/**
 * How long a new owner waits before it answers for a range that a lost member owned, in milliseconds:
 * the duration of the lost member's configuration lease, plus a margin for clock drift.
 */
export const takeoverWaitMs = 2500;
