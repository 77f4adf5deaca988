/**
 * Keeps an unexpected error to the duty that it came up in, so that the leader's other duties, above all
 * the leases of minions, go on.
 */
import {describeError} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';

/**
 * @param log - Takes the error.
 * @returns Carries out a duty; an error of it is logged, and it is tried again when it is due next.
 */
export function createErrorBoundary(log: StructuredLogger): (duty: string, action: () => void) => void {
	return (duty, act) => {
		try {
			act();
		} catch (err) {
			log.error(`an unexpected error in ${duty}`, {duty, err: describeError(err)});
		}
	};
}
