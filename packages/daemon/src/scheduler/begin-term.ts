/**
 * Begins the duties of a leader once its term is in the log.
 */
import {describeError, waitFor, type TimerService} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';
import {termBeginRetryDelayMs} from './constants.js';
import type {ProposalResult} from './command-batcher.js';

/** What the start of a term depends on. */
export type TermStart = {
	readonly term: number;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	/** Proposes `term/begun`. Proposing it again is harmless: the ledger ignores a term that has begun. */
	readonly proposeTerm: () => Promise<ProposalResult>;
	/** Whether this host still leads the term. */
	readonly isCurrent: () => boolean;
	/** Whether the ledger is in the term. */
	readonly hasBegun: () => boolean;
	readonly startDuties: () => void;
	/** Lets another host lead. */
	readonly giveWay: () => void;
};

/**
 * Proposes the term until it is applied or the host no longer leads it, and then starts the duties. The replica
 * keeps the lead by its heartbeats alone, so a leader that gave up here would keep all others from doing the duties.
 */
export async function beginTerm({term, timers, log, proposeTerm, isCurrent, hasBegun, startDuties, giveWay}: TermStart): Promise<void> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- each attempt waits for the result of the one before
		const {type} = await proposeTerm();
		if (!isCurrent()) {
			return;
		}

		if (hasBegun()) {
			break;
		}

		log.warn(`term ${term} has not begun: ${type}; proposing it again`, {term, result: type});
		// eslint-disable-next-line no-await-in-loop -- a refusal may come at once
		await waitFor(timers, termBeginRetryDelayMs);
		if (!isCurrent()) {
			return;
		}
	}

	try {
		startDuties();
	} catch (err) {
		log.error(`the duties of term ${term} could not start; giving way`, {term, err: describeError(err)});
		giveWay();
	}
}
