/**
 * Quarantines a minion on which runs of several jobs fail. Failures of a single job may be the job's own fault.
 */
import type {JobId} from '@samphiremill/common';
import {failuresToQuarantine, firstQuarantineMs, maximumQuarantineMs} from './constants.js';

/** The record of failures on one incarnation of a minion. */
export type MinionHealth = {
	/** Jobs whose runs failed since the last successful run or the last quarantine. */
	readonly failedJobs: readonly JobId[];
	readonly quarantineCount: number;
	/** The minion gets no runs before this monotonic time in milliseconds. */
	readonly quarantinedUntilMs: number;
};

/** The health of a minion without any failures. */
export const initialMinionHealth: MinionHealth = {failedJobs: [], quarantineCount: 0, quarantinedUntilMs: Number.NEGATIVE_INFINITY};

/** Records a successful run, which resets the health. */
export function recordRunDone(health: MinionHealth): MinionHealth {
	return health.failedJobs.length === 0 && health.quarantineCount === 0 ? health : initialMinionHealth;
}

/**
 * Records a failed run, and quarantines the minion after enough failures. Failures of one job count once, since
 * the job may be at fault.
 *
 * @param failure - The job, and the monotonic time in milliseconds.
 */
export function recordRunFailed(health: MinionHealth, {job, nowMs}: {readonly job: JobId; readonly nowMs: number}): MinionHealth {
	const failedJobs = health.failedJobs.includes(job) ? health.failedJobs : [...health.failedJobs, job];
	// A minion on probation after a quarantine has failed before, so one more failure is enough.
	const requiredFailures = health.quarantineCount > 0 ? 1 : failuresToQuarantine;
	if (failedJobs.length < requiredFailures) {
		return {...health, failedJobs};
	}

	const durationMs = Math.min(maximumQuarantineMs, firstQuarantineMs * (2 ** health.quarantineCount));
	return {failedJobs: [], quarantineCount: health.quarantineCount + 1, quarantinedUntilMs: nowMs + durationMs};
}

/**
 * Returns how many runs the minion may have at once: none in quarantine, and one on probation after it.
 *
 * @param nowMs - The monotonic time in milliseconds.
 */
export function getRunLimit(health: MinionHealth, nowMs: number): number {
	if (nowMs < health.quarantinedUntilMs) {
		return 0;
	}

	return health.quarantineCount > 0 ? 1 : Number.POSITIVE_INFINITY;
}
