/** How long a connection to a minion may take to open, in milliseconds. */
export const connectTimeoutMs = 400;
/**
 * How long a connection may have been idle and still carry a job, in milliseconds. A connection that
 * something between the two ends has forgotten swallows what is sent on it, so old ones are not used.
 */
export const maximumIdleReuseMs = 1000;
/** How long an attempt may hear nothing before the minion is asked on a new connection, in milliseconds. */
export const inactivityBeforeProbeMs = 1000;
/** How long a probe on a new connection may take, in milliseconds. */
export const probeTimeoutMs = 500;
/** How long past a job's deadline its attempt is kept, in milliseconds. */
export const deadlineGraceMs = 50;
/** How often a minion is asked whether a lost attempt still holds its slot, in milliseconds. */
export const reclaimPeriodMs = 500;
