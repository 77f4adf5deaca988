import type {TimerService} from '@samphiremill/common';
import {fenceAttempt} from './fence-attempt.js';
import {probeTimeoutMs, reclaimPeriodMs} from './constants.js';

/** An attempt whose answer will not come, but whose task may still hold a slot. */
export type LostAttempt = {
	readonly origin: string;
	readonly job: string;
	readonly attempt: number;
};

/**
 * Asks the minion, on new connections, until nothing of the attempt is left on it. The task itself is
 * not stopped: its caller has been told that it may have run, and half a run helps nobody.
 *
 * @param options - The attempt, the timer service, whether asking still makes sense, and whom to tell.
 */
export function reclaimSlot({lost, timers, isWorthAsking, onFreed}: {
	readonly lost: LostAttempt;
	readonly timers: TimerService;
	readonly isWorthAsking: () => boolean;
	readonly onFreed: () => void;
}): void {
	const ask = async () => {
		if (!isWorthAsking()) {
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
