import type {JobId} from '@samphiremill/common';
import {endJob, dropTasksIfEnded} from '../ledger.js';
import type {Ledger, LedgerOutcome} from '../types.js';

/**
 * Cancels a job. The leader stops its runs afterwards. A job that has already ended stays unchanged.
 *
 * @param cancel - The job, and the time of the call as Unix time in milliseconds.
 */
export function cancelJob(ledger: Ledger, {id, atMs}: {readonly id: JobId; readonly atMs: number}): LedgerOutcome {
	const job = ledger.jobs.get(id);
	if (job?.status !== 'active') {
		return {type: 'ignored'};
	}

	endJob(ledger, job, {status: 'cancelled', atMs});
	dropTasksIfEnded(ledger, job);
	return {type: 'applied'};
}
