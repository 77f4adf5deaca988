/**
 * Cancels of jobs that are not accepted yet: their submission may still be on its way, at another host or in a proposal. A cancel that was
 * confirmed binds what comes after it, so it is kept in the log.
 */
import type {JobId} from '@samphiremill/common';
import {maximumCancelsPerId, maximumEarlyCancels} from './constants.js';
import {mayAccessJob} from './job-callers.js';
import type {AcceptedJob, JobCaller, Ledger} from './types.js';

/** Records the cancel of a job that is not known. Beyond their maximum the oldest are forgotten. */
export function recordEarlyCancel({earlyCancels}: Ledger, id: JobId, caller: JobCaller): void {
	const known = earlyCancels.get(id) ?? [];
	// Deleted first, so that the map stays ordered by time.
	earlyCancels.delete(id);
	earlyCancels.set(id, [...known.filter(({team, openPlace}) => team !== caller.team || openPlace !== caller.openPlace), caller].slice(-maximumCancelsPerId));
	const [oldest] = earlyCancels.keys();
	if (oldest !== undefined && earlyCancels.size > maximumEarlyCancels) {
		earlyCancels.delete(oldest);
	}
}

/** Returns whether a job was cancelled before it was accepted. */
export function isCancelledEarly({earlyCancels}: Ledger, job: Pick<AcceptedJob, 'id' | 'team' | 'place'>): boolean {
	return (earlyCancels.get(job.id) ?? []).some(caller => mayAccessJob(caller, job));
}
