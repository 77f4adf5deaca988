/** Of how many tasks the ledger keeps starts that may be under way. A minion has a few at its end, and the fleet hundreds of minions. */
export const maximumStartsUnderWay = 4096;

/** How many starts of one task are kept, the latest ones; a run without an answer takes half a second and more. */
export const maximumStartsOfTask = 24;

/** The lowest rate, relative to real time, at which a minion's clock may run. */
export const minimumClockRate = 0.98;

/** How long after its deadline a lease still counts, to allow for errors in reading the minion's clock. */
export const leaseMarginMs = 150;

/** Consecutive failures, with no successful run in between, after which a minion is quarantined. */
export const failuresToQuarantine = 2;

/** The length of a minion's first quarantine. Each further quarantine is twice as long as the one before. */
export const firstQuarantineMs = 3000;

/** The maximum length of a quarantine; shorter than a task may wait after a fault is over. */
export const maximumQuarantineMs = 6000;

/** A minion's record of failures is dropped this long after its last failure and its last quarantine. */
export const failureRetentionMs = 12_000;

/** A long-running task that has waited for this long may start on a minion on which runs failed lately, if no other takes it. */
export const overdueWaitMs = 1500;

/**
 * How long capacity is kept for an overdue long-running task at a time, and how long each time with its pause lasts. In the
 * pauses other tasks start, which must not wait beside free capacity for 3 s.
 */
export const holdMs = 2500;
export const holdCycleMs = 5000;

/** How long a run must have run before its speed is assessed. */
export const minimumAssessmentMs = 500;

/** A run counts as stalled after this time without progress. */
export const stallTimeoutMs = 1500;

/** A run counts as a straggler if its predicted duration is at least this many times the median of its peers. */
export const stragglerFactor = 2.5;

/** The cost in time of stopping a run and starting another one, beside the work itself. */
export const restartCostMs = 500;

/** Share of the latency limit at which fillers beside a serving task are slowed down. */
export const tailSlowdownShare = 0.75;

/** Share of the latency limit at or below which fillers are sped up again. */
export const tailSpeedUpShare = 0.5;

/** The factor for a filler's pace when a tail latency comes near its limit. */
export const fillerSlowdownFactor = 0.5;

/** How much is added to a filler's pace while every tail latency is well below its limit, in percentage points. */
export const fillerSpeedUpPercent = 15;

/** A worker that has not returned from maintenance after this time counts as lost, and no longer as down for maintenance. */
export const maximumMaintenanceMs = 12_000;

/** The same limit for a worker that is switched off and therefore sends no reports. */
export const switchedOffMaintenanceMs = 3500;

/** The expected time for draining one batch of workers and for their maintenance. */
export const maintenanceRoundMs = 5500;

/** The weight of a minion's previous slowness in its exponential moving average. */
export const previousSlownessWeight = 0.7;

/** A minion is suspected of being slow above this slowness. */
export const suspectSlowness = 2;

/** How long a minion stays suspected after the last assessment. */
export const suspicionMs = 6000;

/** How many lapsed runs are kept per task, since their ends may still be reported. */
export const maximumLapsedRuns = 4;

/** A run that was lost with its minion this soon after its start makes its task a suspect at the first loss. */
export const freshRunMs = 100;

/** Runs that had run for longer when their minion was lost are not held against their task. */
export const shortRunMs = 3000;

/** How much longer than its lost runs a run has to last to clear its task of the suspicion. */
export const clearanceMarginMs = 150;

/** A crash is sudden if a run had started at most this long before, which may have caused it. Others have another cause. */
export const suddenRunMs = 30;

/** Minions that are lost within this time of one that was not lost suddenly are taken to have the same cause. */
export const sharedLossMs = 300;

/** This many crashes within this time that were not sudden show that minions crash for another reason than the tasks. */
export const backgroundCrashMs = 8000;
export const backgroundCrashCount = 2;

/** How alike the run times of a task must be at the crashes of its minions to count as a pattern. */
export const alikeRunMs = 250;

/**
 * How long after its latest loss a repeated suspect waits for the proof that its minion crashed, which is the next
 * minion of the same worker. Short of the 6 s after which a long-running task has to run again.
 */
export const crashProofWaitMs = 4500;

/** How many losses are kept per task, and how many crashes in all. */
export const maximumLosses = 6;
export const maximumCrashes = 32;

/** Most tasks of a step that is a gang: its members are assigned in one command, which has to fit into an entry of the log. */
export const maximumGangTasks = 512;

/** Most runs that a loss names, so that the command that carries it fits into an entry of the log. */
export const maximumLostRuns = 256;

/** Most tasks of due occurrences of schedules that are held at a time, over all jobs: they take some 32 MB. More wait until others are done. */
export const maximumScheduledTasks = 50_000;

/**
 * Of how many ids a cancel is kept that came before the job. A submission that it overtakes is a few seconds behind; at the longest deadline
 * of a minute this is enough for 160 such cancels a second.
 */
export const maximumEarlyCancels = 10_000;

/** How many teams' cancels are kept for one id. */
export const maximumCancelsPerId = 4;

/** How many minions are remembered whose incarnations ended, to recognise those that come back under their ids. */
export const maximumEndedMinions = 2000;
