/**
 * The lease on all that runs on one minion, on the minion's own clock.
 */
import type {TimerService} from '@samphiremill/common';
import {
	getInheritedLeaseMs, getLeaseDeadline, isLeaseOver, type ClockReading,
} from '@samphiremill/core';

/** What a lease rests on. */
export type MinionLeaseOptions = {
	readonly timers: TimerService;
	readonly leaseMs: number;
	/** From when on leases that an earlier leader granted may still run, on the monotonic clock. */
	readonly inheritedSinceMs: number;
};

/** The lease on one life of a minion. */
export type MinionLease = {
	/** Takes in the minion's clock, just read. */
	readonly recordClock: (minionMs: number) => void;
	/**
	 * Grants the minion more time. A silent minion must not be granted any: a call without an answer may have
	 * been carried out.
	 *
	 * @returns Until when, on the minion's clock, its runs may go on; nothing while its clock is unknown.
	 */
	readonly grant: () => number | undefined;
	/** Whether everything there has ended for certain, if it was not looked at since. */
	readonly isExpired: (wasLookedAt: boolean) => boolean;
	/** Forgets what was granted; everything there has ended. */
	readonly reset: () => void;
};

/**
 * @param options - What the lease rests on.
 * @returns The lease.
 */
export function createMinionLease({timers, leaseMs, inheritedSinceMs}: MinionLeaseOptions): MinionLease {
	let clock: ClockReading | undefined;
	let latestDeadlineMs = 0;

	return {
		recordClock(minionMs) {
			clock = {minionClockMs: minionMs, receivedAtMs: timers.getNow()};
		},
		grant() {
			if (clock === undefined) {
				return undefined;
			}

			const deadlineMs = getLeaseDeadline(clock, {nowMs: timers.getNow(), leaseMs});
			latestDeadlineMs = Math.max(latestDeadlineMs, deadlineMs);
			return deadlineMs;
		},
		isExpired(wasLookedAt) {
			const nowMs = timers.getNow();
			if (clock === undefined || latestDeadlineMs === 0) {
				return !wasLookedAt && nowMs - inheritedSinceMs > getInheritedLeaseMs(leaseMs);
			}

			return isLeaseOver(clock, {nowMs, deadlineMs: latestDeadlineMs});
		},
		reset() {
			clock = undefined;
			latestDeadlineMs = 0;
		},
	};
}
