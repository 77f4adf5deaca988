/**
 * Cancels of jobs that are not accepted yet: their submission may still be on its way, at another host or in a proposal. A cancel that was
 * confirmed binds what comes after it, so it is kept in the log.
 */
import type {JobId, TeamId} from '@samphiremill/common';
import {maximumCancelsPerId, maximumEarlyCancels} from './constants.js';
import type {JobCaller, Ledger} from './types.js';

/** Returns whether a caller may cancel a job of this team; one without a team is open to all. */
export function mayCancel({team}: JobCaller, jobTeam: TeamId | undefined): boolean {
	return jobTeam === undefined || jobTeam === team;
}

/** Records the cancel of a job that is not known. Beyond their maximum the oldest are forgotten. */
export function recordEarlyCancel({earlyCancels}: Ledger, id: JobId, caller: JobCaller): void {
	const known = earlyCancels.get(id) ?? [];
	// Deleted first, so that the map stays ordered by time.
	earlyCancels.delete(id);
	earlyCancels.set(id, [...known.filter(({team}) => team !== caller.team), caller].slice(-maximumCancelsPerId));
	const [oldest] = earlyCancels.keys();
	if (oldest !== undefined && earlyCancels.size > maximumEarlyCancels) {
		earlyCancels.delete(oldest);
	}
}

/** Returns whether a job was cancelled before it was accepted. */
export function isCancelledEarly({earlyCancels}: Ledger, {id, team}: {readonly id: JobId; readonly team: TeamId | undefined}): boolean {
	return (earlyCancels.get(id) ?? []).some(caller => mayCancel(caller, team));
}
