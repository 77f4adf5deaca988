/**
 * What may be said of whether a job ran, for each state that it can be in.
 */
import {assertNever} from '@samphiremill/common';
import type {JobState} from './state.js';
import type {
	JobOutcome, JobSpec, Ran, RefusalReason,
} from './types.js';

/**
 * @param state - A job that is given up now.
 * @returns `no` only where no byte of any attempt, here or under the same idempotency key
 * elsewhere, can have reached a minion.
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

		// The shell may have sent the first byte while its word of it is still under way.
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
 * @param spec - A job whose key's owner has not answered.
 * @returns `maybe` where the job has an idempotency key, since an earlier submission under the key
 * may have run; `no` otherwise.
 */
export function getRanBeforeClaim(spec: Pick<JobSpec, 'idempotencyKey'>): Ran {
	return spec.idempotencyKey === undefined ? 'no' : 'maybe';
}

/**
 * @param options - Why the job is refused, whether it ran, and when coming back helps.
 * @returns The refusal.
 */
export function createRefusal(options: {
	readonly reason: RefusalReason;
	readonly ran: Ran;
	readonly retryAfterMs?: number | undefined;
}): JobOutcome {
	const {reason, ran, retryAfterMs} = options;
	const refusal = {type: 'refused', reason, ran} as const;
	return retryAfterMs === undefined ? refusal : {...refusal, retryAfterMs: Math.ceil(retryAfterMs)};
}
