import {recordEarlyCancel} from '../early-cancels.js';
import {mayAccessJob} from '../job-callers.js';
import {endJob, dropTasksIfEnded} from '../ledger.js';
import type {Ledger, LedgerCommand, LedgerOutcome} from '../types.js';

/**
 * Cancels a job. The leader stops its runs afterwards. A job that has already ended stays unchanged. The cancel of a job that is not known is
 * kept, so that the job is refused if it comes.
 *
 * @param cancel - The job, the time of the call as Unix time in milliseconds, and who called.
 */
export function cancelJob(ledger: Ledger, {id, atMs, caller}: Pick<LedgerCommand & {type: 'job/cancelled'}, 'id' | 'atMs' | 'caller'>): LedgerOutcome {
	const job = ledger.jobs.get(id);
	const isOwn = job !== undefined && (caller === undefined || mayAccessJob(caller, job));
	if (!isOwn && caller !== undefined) {
		recordEarlyCancel(ledger, id, caller);
		return {type: 'applied'};
	}

	if (job?.status !== 'active') {
		return {type: 'ignored'};
	}

	endJob(ledger, job, {status: 'cancelled', atMs});
	dropTasksIfEnded(ledger, job);
	return {type: 'applied'};
}
