/**
 * Times the leader's duties (its periodic work and its calls), which block the event loop. A process that is
 * busy for most of a second renews the leases of minions late and loses its leadership, so such seconds are logged.
 */
import type {TimerService} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';
import {busyThreshold, dutyTimesPeriodMs} from './constants.js';

/** Processor time of the duties of one leader. */
export type DutyTimes = {
	/** Runs a duty and adds its duration to the duty's total. */
	readonly measure: <Value>(duty: string, action: () => Value) => Value;
	/** Once a period has passed, logs it if the process was busy in it, and begins the next one. */
	readonly report: () => void;
};

/**
 * Creates the timer of one leader's duties.
 *
 * @param options - `getProcessTimes` returns how long the process has been active and has collected garbage since it started, in milliseconds.
 * `getTraffic` returns counts of what it sent and received since then.
 */
export function createDutyTimes({timers, log, getProcessTimes, getTraffic = () => ({})}: {
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly log: StructuredLogger;
	readonly getProcessTimes: () => {readonly activeMs: number; readonly collectionMs: number};
	readonly getTraffic?: (() => Readonly<Record<string, number>>) | undefined;
}): DutyTimes {
	const spentMs = new Map<string, number>();
	const timesDone = new Map<string, number>();
	let before = getProcessTimes();
	let trafficBefore = getTraffic();
	let reportedAtMs: number = timers.getNow();

	return {
		measure(duty, action) {
			const startedAtMs = timers.getNow();
			try {
				return action();
			} finally {
				timesDone.set(duty, (timesDone.get(duty) ?? 0) + 1);
				spentMs.set(duty, (spentMs.get(duty) ?? 0) + timers.getNow() - startedAtMs);
			}
		},
		report() {
			const periodMs = timers.getNow() - reportedAtMs;
			if (periodMs < dutyTimesPeriodMs) {
				return;
			}

			const processTimes = getProcessTimes();
			const activeMs = processTimes.activeMs - before.activeMs;
			const traffic = getTraffic();
			if (activeMs > periodMs * busyThreshold) {
				log.info(`the leader was busy for ${Math.round(activeMs)} of ${Math.round(periodMs)} ms`, {
					activeMs: Math.round(activeMs),
					collectionMs: Math.round(processTimes.collectionMs - before.collectionMs),
					duties: Object.fromEntries([...spentMs].map(([duty, ms]) => [duty, Math.round(ms)])),
					counts: Object.fromEntries(timesDone),
					traffic: Object.fromEntries(Object.entries(traffic).map(([name, count]) => [name, count - (trafficBefore[name] ?? 0)]).filter(([, count]) => count !== 0)),
				});
			}

			spentMs.clear();
			timesDone.clear();
			trafficBefore = traffic;
			before = processTimes;
			reportedAtMs = timers.getNow();
		},
	};
}
