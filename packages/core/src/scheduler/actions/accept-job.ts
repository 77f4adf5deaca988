import {isCancelledEarly} from '../early-cancels.js';
import {estimateChainMs} from '../estimates.js';
import {createDoneOccurrences} from '../done-occurrences.js';
import {estimateJobBytes, hasRoomForJob} from '../job-memory.js';
import {getOrCreateOccurrence} from '../occurrences.js';
import {indexJob} from '../work-index.js';
import type {
	Job, Ledger, LedgerCommand, LedgerOutcome,
} from '../types.js';

/** Stores an accepted job. Ignores a job whose id is already known, and refuses one that was cancelled before, or for which there is no memory. */
export function acceptJob(ledger: Ledger, {job: accepted, keepsBounds}: Pick<LedgerCommand & {type: 'job/accepted'}, 'job' | 'keepsBounds'>): LedgerOutcome {
	if (ledger.jobs.has(accepted.id)) {
		return {type: 'ignored'};
	}

	if (isCancelledEarly(ledger, accepted)) {
		return {type: 'jobRefused', reason: 'cancelled'};
	}

	const {specification} = accepted;
	if (keepsBounds && !hasRoomForJob(ledger.storedBytes, specification)) {
		return {type: 'jobRefused', reason: 'storeFull'};
	}

	const job: Job = {
		...accepted, chainMs: estimateChainMs(specification), status: 'active', endedAtMs: undefined, hasStarted: false, isStartConfirmed: false, givenUp: undefined, isReleased: false, occurrences: new Map(), doneOccurrences: createDoneOccurrences(), runCount: 0,
	};
	if (specification.schedule === undefined) {
		getOrCreateOccurrence(job, 0);
	}

	ledger.storedBytes += estimateJobBytes(specification);
	ledger.jobs.set(job.id, job);
	ledger.activeJobs.add(job);
	indexJob(ledger.index, job);
	return {type: 'applied'};
}
