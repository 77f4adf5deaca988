/**
 * Minion incarnations that have certainly ended. A report that was in flight when its minion ended would otherwise
 * re-add the incarnation: the leader would poll it until it times out, and its worker would count as switched on.
 */
import type {TimerService} from '@samphiremill/common';
import type {IncarnationId} from '@samphiremill/core';
import {endedIncarnationRetentionMs} from './constants.js';

/** The incarnations that ended recently. */
export type EndedIncarnations = {
	readonly markEnded: (life: IncarnationId) => void;
	/** Whether the incarnation has ended, so that a report from it is outdated. */
	readonly has: (life: IncarnationId) => boolean;
};

export function createEndedIncarnations(timers: Pick<TimerService, 'getNow'>): EndedIncarnations {
	/** Ordered by the time of the end, earliest first. */
	const endedAtMs = new Map<IncarnationId, number>();

	const dropExpired = () => {
		for (const [life, atMs] of endedAtMs) {
			if (timers.getNow() - atMs <= endedIncarnationRetentionMs) {
				return;
			}

			endedAtMs.delete(life);
		}
	};

	return {
		markEnded(life) {
			dropExpired();
			endedAtMs.delete(life);
			endedAtMs.set(life, timers.getNow());
		},
		has(life) {
			dropExpired();
			return endedAtMs.has(life);
		},
	};
}
