/**
 * Spaces a periodic duty by the time that it takes. On a fleet that is large for its leader, periodic work would otherwise take the time that minions
 * and callers need, and take more of it the more of them there are.
 */
import type {TimerService} from '@samphiremill/common';
import {longestDutyPauseMs} from './constants.js';

/** Runs the duty, or leaves it out if its last run was too short a time ago for what it took. Returns whether it ran. */
export type PacedDuty = (duty: () => void) => boolean;

/**
 * Creates the pace of one duty.
 *
 * @param options - `maximumShare` is the largest part of the time that the duty may take, from 0 to 1. A pause never gets longer than
 * `longestDutyPauseMs`, since a process that was suspended during the duty counts that time as well.
 */
export function createPacedDuty({timers, maximumShare}: {readonly timers: Pick<TimerService, 'getNow'>; readonly maximumShare: number}): PacedDuty {
	let nextAtMs = Number.NEGATIVE_INFINITY;

	return duty => {
		const startedAtMs = timers.getNow();
		if (startedAtMs < nextAtMs) {
			return false;
		}

		duty();
		const endedAtMs = timers.getNow();
		const pauseMs = (endedAtMs - startedAtMs) * ((1 / maximumShare) - 1);
		nextAtMs = endedAtMs + Math.min(longestDutyPauseMs, pauseMs);
		return true;
	};
}
