import {createFailure, type Result, type TimerService} from '@samphiremill/common';
import type {StoreError, StoreObserver} from './types.js';

const retryPeriodMs = 100;

/** Tries failed writes again until they are synced. */
export type WriteRetrier = {
	/**
	 * Repeats a failed write. It must write to a new file: after a failed append or sync it is unknown what the disk holds of the
	 * old one, and a later sync of it may succeed without the data.
	 *
	 * @param err - The error of the first try.
	 * @returns The result of the try that succeeds; `err` if the tries are ended before.
	 */
	readonly retryUntilSynced: (err: StoreError, tryAgain: () => Promise<Result<void, StoreError>>) => Promise<Result<void, StoreError>>;
	/** Ends all tries, also later ones, after the one that is being made. */
	readonly end: () => void;
};

/** Creates a retrier. The observer is told when writes begin to fail, and when they succeed again. */
export function createWriteRetrier({timers, observer}: {
	readonly timers: TimerService;
	readonly observer: StoreObserver;
}): WriteRetrier {
	let isEnded = false;
	let endWait: (() => void) | undefined;

	const waitForRetry = async () => new Promise<void>(resolve => {
		if (isEnded) {
			resolve();
			return;
		}

		const cancel = timers.scheduleOnce(retryPeriodMs, resolve);
		endWait = () => {
			cancel();
			resolve();
		};
	});

	return {
		/* eslint-disable no-await-in-loop -- one try after the other */
		async retryUntilSynced(err, tryAgain) {
			const sinceMs = timers.getNow();
			observer.onWritesFailing?.({err, sinceMs});
			for (let tries = 1; ; tries += 1) {
				await waitForRetry();
				if (isEnded) {
					return createFailure(err);
				}

				const result = await tryAgain();
				if (result.ok) {
					observer.onWritesRecovered?.({sinceMs, durationMs: timers.getNow() - sinceMs, tries});
					return result;
				}
			}
		},
		/* eslint-enable no-await-in-loop */
		end() {
			isEnded = true;
			endWait?.();
		},
	};
}
