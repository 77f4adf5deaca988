/** How often the reducer is told the time, in milliseconds. */
export const nodeTickPeriodMs = 100;
/** How often a leader plans, in milliseconds. */
export const planPeriodMs = 250;
/** How often an entry host looks for a change of its configuration lease, in milliseconds. */
export const freshnessCheckPeriodMs = 100;
/** How long a planned stop lets members of the data centre learn of it before it closes, in milliseconds. */
export const leaveNoticeMs = 200;
/** The most work a caller may leave waiting for an answer, in milliseconds. */
export const maximumDeadlineMs = 3_600_000;
/** How often an entry host looks for silent minions whose tasks have ended, in milliseconds. */
export const taskLeaseCheckPeriodMs = 1000;
