/** How often the leader plans. */
export const planPeriodMs = 250;

/** A new leader first hears from all data centres, since what it has not heard of counts as unknown. */
export const leaderWarmUpMs = 5000;

/** How often hosts with a closed intake that nothing holds aside are looked for. */
export const reopenPeriodMs = 5000;

/** How long a checkpoint and the start from it take together, for deciding between it and waiting. */
export const checkpointCostMs = 20_000;
