/** How much slower than true time a minion's clock may run. */
export const minimumClockRate = 0.98;

/** What a lease is waited for beyond its end, for errors in reading the minion's clock. */
export const leaseMarginMs = 150;

/** Failures in a row, with nothing done between, after which a minion gets no more work for a while. */
export const failuresToQuarantine = 2;

/** First time without work after failures in a row; each further one doubles it. */
export const firstQuarantineMs = 3000;

/** Longest time without work after failures in a row. */
export const maximumQuarantineMs = 24_000;

/** A run is judged by its speed only after this time. */
export const minimumAssessmentMs = 500;

/** A run that shows no progress for this long stands still. */
export const stallTimeoutMs = 1500;

/** A run that will take this many times what its peers take is left behind. */
export const stragglerFactor = 2.5;

/** What ending a run and starting another costs, beside the work. */
export const restartCostMs = 500;

/** Part of its bound that a serving task's tail may reach before fillers beside it are slowed. */
export const tailSlowdownShare = 0.75;

/** Part of its bound under which fillers are given speed back. */
export const tailSpeedUpShare = 0.5;

/** What a filler's pace is multiplied by when a tail comes near its bound. */
export const fillerSlowdownFactor = 0.5;

/** What is added to a filler's pace when every tail is well under its bound, in percent. */
export const fillerSpeedUpPercent = 15;

/** After this time a worker that did not come back from its upkeep counts as lost, not as down for it. */
export const maximumMaintenanceMs = 12_000;

/** The same for a worker that is switched off, of which nothing is heard. */
export const switchedOffMaintenanceMs = 3500;

/** What emptying some workers and their upkeep take together. */
export const maintenanceRoundMs = 5500;

/** How much of a minion's slowness an ended run leaves as it was. */
export const previousSlownessWeight = 0.7;

/** Slowness from which a minion is suspected. */
export const suspectSlowness = 2;

/** How long a suspicion lasts without a new sign. */
export const suspicionMs = 6000;

/** How many runs of a task that were given up are remembered, since their ends may still be reported. */
export const maximumLapsedRuns = 4;
