/**
 * Minion incarnations that have certainly ended. A report that was in flight when its minion ended would otherwise
 * re-add the incarnation: the leader would poll it until it times out, and its worker would count as switched on.
 */
import type {TimerService} from '@samphiremill/common';
import type {LifeId} from '@samphiremill/core';
import {endedLifeMemoryMs} from './constants.js';

/** The incarnations that ended recently. */
export type EndedIncarnations = {
	readonly markEnded: (life: LifeId) => void;
	/** Whether the incarnation has ended, so that a report from it is outdated. */
	readonly has: (life: LifeId) => boolean;
};

export function createEndedIncarnations(timers: Pick<TimerService, 'getNow'>): EndedIncarnations {
	/** Ordered by the time of the end, earliest first. */
	const endedAtMs = new Map<LifeId, number>();

	const dropExpired = () => {
		for (const [life, atMs] of endedAtMs) {
			if (timers.getNow() - atMs <= endedLifeMemoryMs) {
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
		has: life => endedAtMs.has(life),
	};
}
