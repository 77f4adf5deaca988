/**
 * Quarantines a minion on which runs of several jobs fail. Failures of a single job may be the job's own fault.
 */
import type {JobId} from '@samphiremill/common';
import {
	failuresToQuarantine, failureRetentionMs, firstQuarantineMs, maximumQuarantineMs,
} from './constants.js';

/** The record of failures on one incarnation of a minion. Times are monotonic, in milliseconds. */
export type MinionHealth = {
	/** Jobs whose runs failed since the last successful run or the last quarantine. */
	readonly failedJobs: readonly JobId[];
	readonly quarantineCount: number;
	/** The minion gets no runs of tasks that end before this time. */
	readonly quarantinedUntilMs: number;
	readonly lastFailureAtMs: number;
};

/** A failed run. Times are monotonic, in milliseconds. */
export type RunFailure = {
	readonly job: JobId;
	/** Long-running tasks may run on a minion with failures, and then fail there again by their own fault. */
	readonly isLasting: boolean;
	readonly startedAtMs: number;
	readonly nowMs: number;
};

/** The health of a minion without any failures. */
export const initialMinionHealth: MinionHealth = {
	failedJobs: [],
	quarantineCount: 0,
	quarantinedUntilMs: Number.NEGATIVE_INFINITY,
	lastFailureAtMs: Number.NEGATIVE_INFINITY,
};

// What failed long ago says nothing about the minion now. Without this, failures that are minutes apart would add up.
const dropOldRecord = (health: MinionHealth, nowMs: number): MinionHealth =>
	nowMs - Math.max(health.lastFailureAtMs, health.quarantinedUntilMs) > failureRetentionMs ? initialMinionHealth : health;

/** Records a successful run, which resets the health. */
export function recordRunDone(health: MinionHealth): MinionHealth {
	return health.failedJobs.length === 0 && health.quarantineCount === 0 ? health : initialMinionHealth;
}

/**
 * Records a failed run, and quarantines the minion after enough failures. Failures of one job count once, since
 * the job may be at fault. A run that started before the end of the latest quarantine tells nothing new, and a
 * long-running task tells nothing on probation.
 */
export function recordRunFailed(previous: MinionHealth, {job, isLasting, startedAtMs, nowMs}: RunFailure): MinionHealth {
	const health = dropOldRecord(previous, nowMs);
	const isOnProbation = health.quarantineCount > 0;
	if (startedAtMs < health.quarantinedUntilMs || (isLasting && isOnProbation)) {
		return health;
	}

	const failedJobs = health.failedJobs.includes(job) ? health.failedJobs : [...health.failedJobs, job];
	// A minion on probation after a quarantine has failed before, so one more failure is enough.
	if (!isOnProbation && failedJobs.length < failuresToQuarantine) {
		return {...health, failedJobs, lastFailureAtMs: nowMs};
	}

	const durationMs = Math.min(maximumQuarantineMs, firstQuarantineMs * (2 ** health.quarantineCount));
	return {
		failedJobs: [], quarantineCount: health.quarantineCount + 1, quarantinedUntilMs: nowMs + durationMs, lastFailureAtMs: nowMs,
	};
}

/**
 * Returns how many runs of tasks that end the minion may have at once: none in quarantine, and one on probation after it.
 *
 * @param nowMs - The monotonic time in milliseconds.
 */
export function getRunLimit(previous: MinionHealth, nowMs: number): number {
	const health = dropOldRecord(previous, nowMs);
	if (nowMs < health.quarantinedUntilMs) {
		return 0;
	}

	return health.quarantineCount > 0 ? 1 : Number.POSITIVE_INFINITY;
}
