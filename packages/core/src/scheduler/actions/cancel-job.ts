import type {JobId} from '@samphiremill/common';
import {endJob, dropTasksIfEnded} from '../ledger.js';
import type {Ledger, LedgerOutcome} from '../types.js';

/**
 * Cancels a job. What runs is stopped by the leader; a job that is over stays as it is.
 *
 * @param ledger - The ledger.
 * @param cancel - The job, and the Unix time of the call.
 * @returns Whether it changed the job.
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
