/** Time limit for the platform to answer one call. */
export const platformTimeoutMs = 5000;

/** Limit on the size of an answer, in bytes. */
export const maximumPlatformAnswerBytes = 1_048_576;

/** Name under which this system closes intakes, so that it does not reopen those that others closed. */
export const closedByName = 'samphiremill';

/** Limit on the connections to the platform. */
export const platformConnectionCount = 8;
