/** Time limit for opening a connection to a minion, in milliseconds. */
export const connectTimeoutMs = 400;
/**
 * Longest idle time after which a connection is still used for a job, in milliseconds. If a device between
 * both ends has dropped the connection's state, everything sent on it is lost, so older ones are not used.
 */
export const maximumIdleReuseMs = 1000;
/** How long nothing may arrive for an attempt before the minion is probed on a new connection, in milliseconds. */
export const inactivityBeforeProbeMs = 1000;
/** Time limit for a probe on a new connection, in milliseconds. */
export const probeTimeoutMs = 500;
/** How long an attempt continues after its job's deadline before it is aborted, in milliseconds. */
export const deadlineGraceMs = 50;
/** Interval at which a minion is asked whether a lost attempt still holds its slot, in milliseconds. */
export const reclaimPeriodMs = 500;
