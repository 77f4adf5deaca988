import type {JobOutcome, RefusalReason} from '@samphiremill/core';
import type {Problem} from '../http/types.js';

type RefusalText = {
	readonly status: number;
	readonly title: string;
};

const refusalTexts: Readonly<Record<RefusalReason, RefusalText>> = {
	queueFull: {status: 429, title: 'The queue is full'},
	deadlineTooNear: {status: 503, title: 'The job cannot be done before its deadline'},
	fitsNowhere: {status: 422, title: 'The job fits on no worker'},
	noMinion: {status: 503, title: 'No minion serves the queue'},
	limitReached: {status: 429, title: 'The team has reached its limit'},
	failedEverywhere: {status: 502, title: 'The job failed on several workers'},
	keyNotAccepted: {status: 401, title: 'The key is not accepted'},
	configurationStale: {status: 503, title: 'This entry host cannot confirm its records'},
	ownerUnreachable: {status: 503, title: 'The owner of the idempotency key cannot be reached'},
	keyConflict: {status: 409, title: 'The idempotency key was used with another body'},
	keyInProgress: {status: 409, title: 'Another request with the idempotency key is in progress'},
	stopping: {status: 503, title: 'This entry host is stopping'},
	cancelled: {status: 409, title: 'The job was cancelled'},
	attemptLost: {status: 502, title: 'The attempt was lost'},
	deadlinePassed: {status: 504, title: 'The deadline has passed'},
	bodyBudgetFull: {status: 503, title: 'The memory for request bodies on this entry host is used up'},
};

/** Creates the problem document that a refused job's caller gets. */
export function createRefusalProblem(outcome: Extract<JobOutcome, {readonly type: 'refused'}>): Problem {
	const {reason, ran, retryAfterMs} = outcome;
	return {
		...refusalTexts[reason], reason, ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
}
