import {assertNever} from '@samphiremill/common';
import type {JobsDecision} from '@samphiremill/core';
import type {StructuredLogger} from './types.js';

/** Logs one routing or placement decision. */
export function logDecision(log: StructuredLogger, decision: JobsDecision): void {
	switch (decision.kind) {
		case 'placed': {
			log.info(`job ${decision.job} is placed on worker ${decision.worker}`, decision);
			return;
		}

		case 'refused': {
			log.info(`job ${decision.job} is refused: ${decision.reason}`, decision);
			return;
		}

		case 'retried': {
			log.info(`job ${decision.job} is tried again in ${decision.delayMs} ms`, decision);
			return;
		}

		case 'workerEjected': {
			log.warn(`worker ${decision.worker} gets no work after ${decision.failuresCounted} failures`, decision);
			return;
		}

		case 'workerProbed':
		case 'workerRestored': {
			log.info(`worker ${decision.worker} is ${decision.kind === 'workerProbed' ? 'probed' : 'restored'}`, decision);
			return;
		}

		default: {
			assertNever(decision);
		}
	}
}
