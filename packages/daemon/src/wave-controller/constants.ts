/** Interval of the leader's planning. */
export const planPeriodMs = 250;

/** How long a new leader collects the state of all data centres before it plans, because anything not yet reported counts as unknown. */
export const leaderWarmUpMs = 5000;

/** Interval of the search for hosts whose intake is closed although no wave or move needs that. */
export const reopenPeriodMs = 5000;

/** Estimated time to take a checkpoint and start from it; a task with less remaining run time is left to finish. */
export const checkpointCostMs = 20_000;
