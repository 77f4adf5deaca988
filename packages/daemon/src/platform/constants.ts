/** How long the platform may take to answer one call. */
export const platformTimeoutMs = 5000;

/** The largest answer that is read, in bytes. */
export const maximumPlatformAnswerBytes = 1_048_576;

/** Under this name intakes are closed, so that those which others closed are left alone. */
export const closedByName = 'samphiremill';

/** How many connections to the platform are kept open. */
export const platformConnectionCount = 8;
