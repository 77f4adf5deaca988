/**
 * Lives of minions that have ended for certain. A report that was on its way when its minion ended would
 * otherwise bring the life back: it would be looked at until its silence gives it up, and its worker
 * would count as switched on.
 */
import type {TimerService} from '@samphiremill/common';
import type {IncarnationId} from '@samphiremill/core';
import {endedIncarnationRetentionMs} from './constants.js';

/** The lives that ended lately. */
export type EndedIncarnations = {
	readonly markEnded: (life: IncarnationId) => void;
	/** Whether the life ended, so that a report of it is an old one. */
	readonly has: (life: IncarnationId) => boolean;
};

/**
 * @param timers - The time.
 * @returns No ended lives yet.
 */
export function createEndedIncarnations(timers: Pick<TimerService, 'getNow'>): EndedIncarnations {
	/** The life that ended first comes first. */
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
		has: life => endedAtMs.has(life),
	};
}
