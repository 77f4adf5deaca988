/**
 * How long the leader's duties keep its process from everything else. A process that is busy for most of
 * a second looks at minions late and loses its lead, so such seconds are logged.
 */
import type {TimerService} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';
import {busyThreshold, dutyTimesPeriodMs} from './constants.js';

/** Measures the duties of one leader. */
export type DutyTimes = {
	/** Carries out a duty and adds to its time. */
	readonly measure: <Value>(duty: string, act: () => Value) => Value;
	/** Logs the second that ended, if the process was busy in it. */
	readonly report: () => void;
};

/**
 * @param options - The time, the log, and how long the process was at work and collected garbage since it started, in milliseconds.
 * @returns The measure.
 */
export function createDutyTimes({timers, log, getWork: getProcessTimes}: {
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly log: StructuredLogger;
	readonly getWork: () => {readonly activeMs: number; readonly collectionMs: number};
}): DutyTimes {
	const spentMs = new Map<string, number>();
	let before = getProcessTimes();
	let reportedAtMs: number = timers.getNow();

	return {
		measure(duty, act) {
			const beganAtMs = timers.getNow();
			try {
				return act();
			} finally {
				spentMs.set(duty, (spentMs.get(duty) ?? 0) + timers.getNow() - beganAtMs);
			}
		},
		report() {
			const periodMs = timers.getNow() - reportedAtMs;
			if (periodMs < dutyTimesPeriodMs) {
				return;
			}

			const work = getProcessTimes();
			const activeMs = work.activeMs - before.activeMs;
			if (activeMs > periodMs * busyThreshold) {
				log.info(`the leader was busy for ${Math.round(activeMs)} of ${Math.round(periodMs)} ms`, {
					activeMs: Math.round(activeMs),
					collectionMs: Math.round(work.collectionMs - before.collectionMs),
					duties: Object.fromEntries([...spentMs].map(([duty, ms]) => [duty, Math.round(ms)])),
				});
			}

			spentMs.clear();
			before = work;
			reportedAtMs = timers.getNow();
		},
	};
}
