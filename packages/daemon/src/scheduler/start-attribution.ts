/**
 * Attributes the starts that a session sends to its incarnation of the minion. An answer to a start names no
 * incarnation, but the clock of each incarnation begins anew, so an answer with an earlier clock came from another one.
 */
import {waitAtMost, type TimerService} from '@samphiremill/common';
import {startAnswerWaitMs} from './constants.js';
import type {MinionAnswer, StartResult} from './types.js';

/** A start that was sent. */
export type SentStart = Promise<MinionAnswer<StartResult>>;

/** The attribution of the starts of one session. */
export type StartAttribution = {
	/** Sends a start. */
	readonly send: (send: () => SentStart) => SentStart;
	/**
	 * Waits a short time for the answers to starts that are on their way. Resolves to the starts that another
	 * incarnation may have executed.
	 */
	readonly listDoubtful: () => Promise<readonly SentStart[]>;
	/**
	 * Records that the session's incarnation answered a listing that was requested after these starts were sent.
	 *
	 * @param clockMs - The minion's clock in the answer.
	 */
	readonly recordListing: (starts: readonly SentStart[], clockMs: number) => void;
};

export function createStartAttribution(timers: TimerService): StartAttribution {
	const unanswered = new Set<SentStart>();
	const doubtful = new Set<SentStart>();
	let latestClockMs = 0;

	return {
		async send(send) {
			const earliestClockMs = latestClockMs;
			const start = send();
			unanswered.add(start);
			const answer = await start.finally(() => {
				unanswered.delete(start);
			});
			if (answer.type === 'noAnswer' || (answer.type === 'answered' && answer.clockMs < earliestClockMs)) {
				doubtful.add(start);
			}

			return answer;
		},
		async listDoubtful() {
			const pending = [...unanswered];
			if (pending.length > 0) {
				await waitAtMost(timers, startAnswerWaitMs, Promise.all(pending));
			}

			// Starts that were sent during the wait do not count, or a busy minion would always have one.
			return [...doubtful, ...pending.filter(start => unanswered.has(start))];
		},
		recordListing(starts, clockMs) {
			latestClockMs = Math.max(latestClockMs, clockMs);
			for (const start of starts) {
				doubtful.delete(start);
			}
		},
	};
}
