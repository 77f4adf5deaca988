import type {TimerService} from '@samphiremill/common';
import {fenceAttempt} from './fence-attempt.js';
import {probeTimeoutMs, reclaimPeriodMs} from './constants.js';

/** An attempt whose answer will not arrive, but whose task may still hold a slot. */
export type LostAttempt = {
	readonly origin: string;
	readonly job: string;
	readonly attempt: number;
};

/**
 * Asks the minion repeatedly, on new connections, until the attempt no longer exists there. The task is
 * not stopped: its caller was told that the job may have run, and a partial run is of no use.
 *
 * @param options - `shouldContinue` is checked before each request; `onFreed` is called once the slot is free.
 */
export function reclaimSlot({lost, timers, shouldContinue, onFreed}: {
	readonly lost: LostAttempt;
	readonly timers: TimerService;
	readonly shouldContinue: () => boolean;
	readonly onFreed: () => void;
}): void {
	const ask = async () => {
		if (!shouldContinue()) {
			return;
		}

		const {type} = await fenceAttempt({...lost, mode: 'ifNeverSeen', timeoutMs: probeTimeoutMs});
		if (type === 'running' || type === 'noAnswer') {
			timers.scheduleOnce(reclaimPeriodMs, () => {
				void ask();
			});
			return;
		}

		onFreed();
	};

	void ask();
}
