/**
 * The loop that sends one hold call after the other while a session is open.
 */
import {describeError, type TimerService} from '@samphiremill/common';
import type {MinionRecord} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';

/** Whether the next hold call follows at once or after a pause. */
export type NextHold = 'again' | 'pause';

export type HoldLoopOptions = {
	readonly record: MinionRecord;
	readonly timers: Pick<TimerService, 'scheduleOnce'>;
	readonly log: Pick<StructuredLogger, 'error'>;
	readonly isOpen: () => boolean;
	/** Sends one hold call and processes its answer. */
	readonly sendHold: () => Promise<NextHold>;
	/** Returns the length of the next pause in milliseconds. */
	readonly getPauseMs: () => number;
};

export type HoldLoop = {
	/** Sends hold calls until the session is closed. */
	readonly run: () => Promise<void>;
	/** Ends the pause before the next hold call, if there is one now. */
	readonly endPause: () => void;
};

/** Creates the loop of one session. It sends nothing before `run` is called. */
export function createHoldLoop({record: {minion, life}, timers, log, isOpen, sendHold, getPauseMs}: HoldLoopOptions): HoldLoop {
	let isFailing = false;
	let endPause: (() => void) | undefined;

	// The loop must outlive any error: without it nobody renews the lease or learns what the minion runs.
	const takeTurn = async (): Promise<NextHold> => {
		try {
			const next = await sendHold();
			isFailing = false;
			return next;
		} catch (err) {
			if (!isFailing) {
				log.error(`unexpected error in the session with minion ${minion}`, {minion, life, err: describeError(err)});
			}

			isFailing = true;
			return 'pause';
		}
	};

	const pause = async () => {
		await new Promise<void>(resolve => {
			const cancelTimer = timers.scheduleOnce(getPauseMs(), resolve);
			endPause = () => {
				cancelTimer();
				resolve();
			};
		});
		endPause = undefined;
	};

	return {
		async run() {
			while (isOpen()) {
				const next = await takeTurn(); // eslint-disable-line no-await-in-loop -- hold calls are sequential
				if (next === 'pause') {
					await pause(); // eslint-disable-line no-await-in-loop -- hold calls are sequential
				}
			}
		},
		endPause() {
			endPause?.();
		},
	};
}
