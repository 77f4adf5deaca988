/**
 * The process of a simulated leader: it runs, stands still, or is gone. Its calls that are under way go on at the other
 * end; it processes their answers and its timers once it runs again.
 */
import type {TimerService} from '@samphiremill/common';

/** The process of one leader. */
export type LeaderProcess = {
	/** The timers of the process. What is due while it stands still is called once it runs again, a period only once. */
	readonly timers: TimerService;
	readonly isRunning: () => boolean;
	readonly isGone: () => boolean;
	readonly freeze: () => void;
	readonly wake: () => void;
	/** Ends the process. Nothing of it is called any more. */
	readonly end: () => void;
	/** Resolves once the process runs; never, if it is gone. */
	readonly waitUntilRunning: () => Promise<void>;
};

/**
 * Creates a running process.
 *
 * @param timers - The timers of the simulation.
 * @returns The process.
 */
export function createLeaderProcess(timers: TimerService): LeaderProcess {
	let state: 'running' | 'frozen' | 'gone' = 'running';
	let pending: ReadonlyArray<() => void> = [];

	const schedule = (callback: () => void, add: (guarded: () => void) => () => void) => {
		let isCancelled = false;
		let isPending = false;
		const call = () => {
			isPending = false;
			if (!isCancelled) {
				callback();
			}
		};

		const cancel = add(() => {
			if (state === 'running') {
				call();
			} else if (state === 'frozen' && !isPending) {
				isPending = true;
				pending = [...pending, call];
			}
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	};

	return {
		timers: {
			getNow: timers.getNow,
			scheduleOnce: (delayMs, callback) => schedule(callback, guarded => timers.scheduleOnce(delayMs, guarded)),
			scheduleEvery: (periodMs, callback) => schedule(callback, guarded => timers.scheduleEvery(periodMs, guarded)),
		},
		isRunning: () => state === 'running',
		isGone: () => state === 'gone',
		freeze() {
			state = state === 'gone' ? 'gone' : 'frozen';
		},
		wake() {
			if (state !== 'frozen') {
				return;
			}

			state = 'running';
			const due = pending;
			pending = [];
			for (const call of due) {
				call();
			}
		},
		end() {
			state = 'gone';
			pending = [];
		},
		waitUntilRunning: async () => new Promise<void>(resolve => {
			if (state === 'running') {
				resolve();
			} else if (state === 'frozen') {
				pending = [...pending, resolve];
			}
		}),
	};
}
