/**
 * Lives of minions that have ended for certain. A report that was on its way when its minion ended would
 * otherwise bring the life back: it would be looked at until its silence gives it up, and its worker
 * would count as switched on.
 */
import type {TimerService} from '@samphiremill/common';
import type {LifeId} from '@samphiremill/core';
import {endedLifeMemoryMs} from './constants.js';

/** The lives that ended lately. */
export type EndedIncarnations = {
	readonly markEnded: (life: LifeId) => void;
	/** Whether the life ended, so that a report of it is an old one. */
	readonly has: (life: LifeId) => boolean;
};

/**
 * @param timers - The time.
 * @returns No ended lives yet.
 */
export function createEndedIncarnations(timers: Pick<TimerService, 'getNow'>): EndedIncarnations {
	/** The life that ended first comes first. */
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
