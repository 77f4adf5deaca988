/**
 * Reads the current workload of a pool from the work index.
 */
import type {PoolId} from '@samphiremill/common';
import type {Ledger, PoolWorkload} from './types.js';
import {getPoolIndex, openDueOccurrences} from './work-index.js';

/** A job whose position in a pool's queue of work is wanted. */
export type QueuePosition = {
	readonly pool: PoolId;
	/** The work of the whole job, in millicore milliseconds. */
	readonly work: number;
	/** The current Unix time in milliseconds. */
	readonly nowMs: number;
};

/**
 * Returns the remaining work, in millicore milliseconds, of the jobs that go before a job: those that have started,
 * and those that are not larger.
 */
export function measureWorkAhead({index}: Ledger, {pool, work, nowMs}: QueuePosition): number {
	openDueOccurrences(index, nowMs);
	const {workload, unstartedJobs} = getPoolIndex(index, pool);
	let workAhead = workload.workLeft;
	for (const other of unstartedJobs.values()) {
		workAhead -= other.work > work ? other.workLeft : 0;
	}

	return workAhead;
}

/**
 * Returns the current workload of a pool.
 *
 * @param nowMs - The current Unix time in milliseconds.
 */
export function measurePoolWorkload({index}: Ledger, pool: PoolId, nowMs: number): PoolWorkload {
	openDueOccurrences(index, nowMs);
	return getPoolIndex(index, pool).workload;
}
