/**
 * Derives whether a job ran, and creates refusals.
 */
import {assertNever} from '@samphiremill/common';
import type {JobState} from './state.js';
import type {
	JobOutcome, JobSpec, Ran, RefusalReason,
} from './types.js';

/**
 * Returns whether a job that is aborted in this state ran: `no` only if no byte of any attempt, here
 * or under the same idempotency key elsewhere, can have reached a minion.
 */
export function getRan(state: JobState): Ran {
	switch (state.type) {
		case 'claiming': {
			return getRanBeforeClaim(state.spec);
		}

		case 'queued':
		case 'backingOff':
		case 'reserved': {
			return state.mayHaveRun ? 'maybe' : 'no';
		}

		// The shell may have sent the first byte although its event has not arrived yet.
		case 'dispatched':
		case 'byteSent':
		case 'answering': {
			return 'maybe';
		}

		default: {
			return assertNever(state);
		}
	}
}

/**
 * Returns whether a job ran whose key owner has not answered: `maybe` if it has an idempotency key,
 * since an earlier submission under the key may have run, otherwise `no`.
 */
export function getRanBeforeClaim(spec: Pick<JobSpec, 'idempotencyKey'>): Ran {
	return spec.idempotencyKey === undefined ? 'no' : 'maybe';
}

/** Creates a refusal. `retryAfterMs` is rounded up to whole milliseconds. */
export function createRefusal(options: {
	readonly reason: RefusalReason;
	readonly ran: Ran;
	readonly retryAfterMs?: number | undefined;
}): JobOutcome {
	const {reason, ran, retryAfterMs} = options;
	const refusal = {type: 'refused', reason, ran} as const;
	return retryAfterMs === undefined ? refusal : {...refusal, retryAfterMs: Math.ceil(retryAfterMs)};
}
