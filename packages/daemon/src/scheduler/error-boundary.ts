/**
 * Contains an unexpected error in the duty that threw it, so that the leader's other duties, above all the
 * renewal of the leases on minions, go on.
 */
import {describeError} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';

/**
 * Creates a function that runs a duty and logs an error that it throws. The duty runs again when it is next due.
 */
export function createErrorBoundary(log: StructuredLogger): (duty: string, action: () => void) => void {
	return (duty, action) => {
		try {
			action();
		} catch (err) {
			log.error(`unexpected error in ${duty}`, {duty, err: describeError(err)});
		}
	};
}
