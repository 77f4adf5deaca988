/** Interval of the reducer's ticks, in milliseconds. */
export const nodeTickPeriodMs = 100;
/** Interval of the leader's planning, in milliseconds. */
export const planPeriodMs = 250;
/** Interval at which an entry host checks its configuration lease for a change, in milliseconds. */
export const freshnessCheckPeriodMs = 100;
/** Delay of a planned stop between the leave message and closing, so that the data centre's members receive it, in milliseconds. */
export const leaveNoticeMs = 200;
/** How long a planned stop waits for members to confirm the claims of this host: longer than one is silent before it is taken for dead and removed, in milliseconds. */
export const longestLeaveHandoverMs = 2000;
/** Interval at which a planned stop looks for these confirmations, in milliseconds. */
export const leavePollMs = 20;
/** Longest deadline that a caller may set for a job, in milliseconds. */
export const maximumDeadlineMs = 3_600_000;
/** Interval at which an entry host looks for unresponsive minions whose task leases have expired, in milliseconds. */
export const taskLeaseCheckPeriodMs = 1000;
