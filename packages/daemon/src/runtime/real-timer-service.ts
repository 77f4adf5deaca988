import {performance} from 'node:perf_hooks';
import {toBrand, type MonotonicMs, type TimerService} from '@samphiremill/common';

// After a standstill the event loop runs the timers that became due before it reads what has arrived meanwhile. An answer
// would then come after its deadline, and a heartbeat after its sender was taken for dead. So a callback runs in the
// same turn of the loop, after reading.
const createDeferred = (callback: () => void) => {
	let pending: NodeJS.Immediate | undefined;
	return {
		run() {
			pending ??= setImmediate(() => {
				pending = undefined;
				callback();
			});
		},
		cancel() {
			clearImmediate(pending);
		},
	};
};

/** Creates the timer service of a running process, on the system's monotonic clock. */
export function createRealTimerService(): TimerService {
	return {
		getNow: () => toBrand<MonotonicMs>(performance.now()),
		scheduleOnce(delayMs, callback) {
			const {run, cancel} = createDeferred(callback);
			const timer = setTimeout(run, Math.max(0, delayMs));
			return () => {
				clearTimeout(timer);
				cancel();
			};
		},
		scheduleEvery(periodMs, callback) {
			const {run, cancel} = createDeferred(callback);
			const timer = setInterval(run, periodMs);
			return () => {
				clearInterval(timer);
				cancel();
			};
		},
	};
}
