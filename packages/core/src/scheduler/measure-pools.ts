/**
 * What each pool is asked for at this moment.
 */
import type {PoolId} from '@samphiremill/common';
import type {Ledger, PoolMeasure} from './types.js';
import {getPoolWork, openDueOccurrences} from './work-index.js';

/** A job that asks for its place in a pool. */
export type PlaceInQueue = {
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
export function measureWorkAhead({index}: Ledger, {pool, work, nowMs}: PlaceInQueue): number {
	openDueOccurrences(index, nowMs);
	const {measure, unbegun} = getPoolWork(index, pool);
	let ahead = measure.workLeft;
	for (const other of unbegun.values()) {
		ahead -= other.work > work ? other.workLeft : 0;
	}

	return ahead;
}

/**
 * @param ledger - The ledger.
 * @param pool - A pool.
 * @param nowMs - The Unix time in milliseconds.
 * @returns The demand on the pool.
 */
export function measurePool({index}: Ledger, pool: PoolId, nowMs: number): PoolMeasure {
	openDueOccurrences(index, nowMs);
	return getPoolWork(index, pool).measure;
}
