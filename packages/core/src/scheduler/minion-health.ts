/**
 * Tells a minion that fails what it starts from tasks that fail everywhere.
 */
import type {JobId} from '@samphiremill/common';
import {failuresToQuarantine, firstQuarantineMs, maximumQuarantineMs} from './constants.js';

/** What is known of how runs end on one life of a minion. */
export type MinionHealth = {
	/** Jobs whose runs failed since the last one that was done. */
	readonly failedJobs: readonly JobId[];
	readonly quarantineCount: number;
	/** No work before this monotonic time. */
	readonly quarantinedUntilMs: number;
};

/** A minion of which nothing is known. */
export const initialMinionHealth: MinionHealth = {failedJobs: [], quarantineCount: 0, quarantinedUntilMs: Number.NEGATIVE_INFINITY};

/**
 * @param health - What was known.
 * @returns What is known after a run was done.
 */
export function recordRunDone(health: MinionHealth): MinionHealth {
	return health.failedJobs.length === 0 && health.quarantineCount === 0 ? health : initialMinionHealth;
}

/**
 * Takes a failure in. Failures of one job count once, since it may be the job's fault.
 *
 * @param health - What was known.
 * @param failure - The job and the monotonic time.
 * @returns What is known now.
 */
export function recordRunFailed(health: MinionHealth, {job, nowMs}: {readonly job: JobId; readonly nowMs: number}): MinionHealth {
	const failedJobs = health.failedJobs.includes(job) ? health.failedJobs : [...health.failedJobs, job];
	// A minion on trial has failed before.
	const requiredFailures = health.quarantineCount > 0 ? 1 : failuresToQuarantine;
	if (failedJobs.length < requiredFailures) {
		return {...health, failedJobs};
	}

	const durationMs = Math.min(maximumQuarantineMs, firstQuarantineMs * (2 ** health.quarantineCount));
	return {failedJobs: [], quarantineCount: health.quarantineCount + 1, quarantinedUntilMs: nowMs + durationMs};
}

/**
 * @param health - What is known.
 * @param nowMs - The monotonic time.
 * @returns How many runs the minion may have at once: none in quarantine, one on trial after it.
 */
export function getRunLimit(health: MinionHealth, nowMs: number): number {
	if (nowMs < health.quarantinedUntilMs) {
		return 0;
	}

	return health.quarantineCount > 0 ? 1 : Number.POSITIVE_INFINITY;
}
