/**
 * What each pool is asked for at this moment.
 */
import type {PoolId} from '@samphiremill/common';
import type {Ledger, PoolWorkload} from './types.js';
import {getPoolIndex, openDueOccurrences} from './work-index.js';

/** A job that asks for its place in a pool. */
export type QueuePosition = {
	readonly pool: PoolId;
	/** The work of the whole job, in millicore milliseconds. */
	readonly work: number;
	/** The Unix time in milliseconds. */
	readonly nowMs: number;
};

/**
 * @param ledger - The ledger.
 * @param place - The job.
 * @returns The work left of the jobs that go before it: begun ones and smaller ones.
 */
export function measureWorkAhead({index}: Ledger, {pool, work, nowMs}: QueuePosition): number {
	openDueOccurrences(index, nowMs);
	const {workload: measure, unstartedJobs: unbegun} = getPoolIndex(index, pool);
	let workAhead = measure.workLeft;
	for (const other of unbegun.values()) {
		workAhead -= other.work > work ? other.workLeft : 0;
	}

	return workAhead;
}

/**
 * @param ledger - The ledger.
 * @param pool - A pool.
 * @param nowMs - The Unix time in milliseconds.
 * @returns The demand on the pool.
 */
export function measurePoolWorkload({index}: Ledger, pool: PoolId, nowMs: number): PoolWorkload {
	openDueOccurrences(index, nowMs);
	return getPoolIndex(index, pool).workload;
}
