/** How many answers are kept for resends: more than two days at 1,800 changes a day. */
export const maximumAppliedChanges = 4096;

/** How many more answers gather before the oldest are dropped together, since dropping one is costly. */
export const appliedChangeSlack = 512;

/** How many changes of one record are kept. */
export const maximumHistoryEntriesPerRecord = 8;

/** How many deleted records keep their history. */
export const maximumDeletedRecords = 512;

/** How many deleted workers are remembered with their last owner. */
export const maximumRetiredWorkers = 1024;

/** The weight of a team without a share record. */
export const defaultTeamWeight = 1;

/** The team on whose account open queues take work. */
export const openTeamId = 'open';

/** Every kind of record, referred-to kinds before those that refer to them. */
export const recordKinds = ['pool', 'team', 'share', 'limit', 'key', 'queue', 'worker', 'wave'] as const;
