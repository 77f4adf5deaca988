/** The number of answers kept for resends: more than two days' worth at 1,800 changes a day. */
export const maximumAppliedChanges = 4096;

/** The number of answers above the maximum that may accumulate. The oldest are then dropped in one batch, since dropping one by one is costly. */
export const appliedChangeSlack = 512;

export const maximumHistoryEntriesPerRecord = 8;

/** The number of deleted records whose history is kept. */
export const maximumDeletedRecords = 512;

/** The number of deleted workers whose last owner is kept. */
export const maximumRetiredWorkers = 1024;

/** The weight of a team without a share record. */
export const defaultTeamWeight = 1;

/** The team to which jobs of open queues are charged. */
export const openTeamId = 'open';

/** All kinds of records. A kind comes after the kinds that it refers to. */
export const recordKinds = ['pool', 'team', 'share', 'limit', 'key', 'queue', 'worker', 'wave'] as const;
