import {toBrand, type MonotonicMs} from './ids.js';
import type {TimerService} from './timer-service.js';

type ScheduledCallback = {
	readonly order: number;
	readonly dueMs: number;
	readonly periodMs: number | undefined;
	readonly callback: () => void;
};

/** A timer service whose clock moves only when `advance` is called. */
export type VirtualTimerService = TimerService & {
	/** Advances the clock by the given milliseconds and runs the callbacks that become due, in order. */
	readonly advance: (durationMs: number) => void;
};

/**
 * Creates a timer service with a virtual clock, for tests and benchmarks.
 *
 * @param startMs - The initial reading of the clock in milliseconds.
 */
export function createVirtualTimerService(startMs = 0): VirtualTimerService {
	let nowMs = startMs;
	let nextOrder = 0;
	let scheduled: readonly ScheduledCallback[] = [];

	const add = (entry: Omit<ScheduledCallback, 'order'>) => {
		const order = nextOrder;
		nextOrder += 1;
		scheduled = [...scheduled, {...entry, order}];
		return () => {
			scheduled = scheduled.filter(other => other.order !== order);
		};
	};

	const getFirstDue = (untilMs: number) => {
		const due = scheduled.filter(({dueMs}) => dueMs <= untilMs);
		return due.toSorted((left, right) => left.dueMs - right.dueMs || left.order - right.order)[0];
	};

	const runNext = (entry: ScheduledCallback) => {
		nowMs = Math.max(nowMs, entry.dueMs);
		scheduled = scheduled.filter(({order}) => order !== entry.order);
		if (entry.periodMs !== undefined) {
			scheduled = [...scheduled, {...entry, dueMs: entry.dueMs + entry.periodMs}];
		}

		entry.callback();
	};

	return {
		getNow: () => toBrand<MonotonicMs>(nowMs),
		scheduleOnce: (delayMs, callback) => add({dueMs: nowMs + delayMs, periodMs: undefined, callback}),
		scheduleEvery: (periodMs, callback) => add({dueMs: nowMs + periodMs, periodMs, callback}),
		advance(durationMs) {
			const untilMs = nowMs + durationMs;
			for (let entry = getFirstDue(untilMs); entry !== undefined; entry = getFirstDue(untilMs)) {
				runNext(entry);
			}

			nowMs = untilMs;
		},
	};
}
