import {performance} from 'node:perf_hooks';
import {toBrand, type MonotonicMs, type TimerService} from '@samphiremill/common';

/** Creates the timer service of a running process, on the system's monotonic clock. */
export function createRealTimerService(): TimerService {
	return {
		getNow: () => toBrand<MonotonicMs>(performance.now()),
		scheduleOnce(delayMs, callback) {
			const timer = setTimeout(callback, Math.max(0, delayMs));
			return () => {
				clearTimeout(timer);
			};
		},
		scheduleEvery(periodMs, callback) {
			const timer = setInterval(callback, periodMs);
			return () => {
				clearInterval(timer);
			};
		},
	};
}
