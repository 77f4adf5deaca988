/**
 * The lease that covers all runs of one minion. Deadlines are on the minion's own clock.
 */
import type {TimerService} from '@samphiremill/common';
import {
	getInheritedLeaseMs, getLeaseDeadline, isLeaseOver, type ClockReading,
} from '@samphiremill/core';

export type MinionLeaseOptions = {
	readonly timers: TimerService;
	readonly leaseMs: number;
	/** Start of the term on the monotonic clock. Leases granted by earlier leaders may still be valid for some time after it. */
	readonly inheritedSinceMs: number;
	/** Until when a lease that was granted by a start of the previous incarnation may be valid, on the monotonic clock. */
	readonly foreignLeaseUntilMs: number;
};

/** The lease of one minion incarnation. */
export type MinionLease = {
	/** Records a reading of the minion's clock that was received now. */
	readonly recordClock: (minionClockMs: number) => void;
	/**
	 * Extends the lease. Must not be called for a minion that does not answer: a call without an answer may have
	 * been executed.
	 *
	 * @returns The new deadline on the minion's clock; undefined while the clock is unknown.
	 */
	readonly grant: () => number | undefined;
	/**
	 * Whether all runs on the minion have certainly ended. Before the first grant, leases of earlier leaders are assumed
	 * to be valid for their full length.
	 *
	 * @param isSynced - Whether the minion has listed its runs since the last reset.
	 */
	readonly isExpired: (isSynced: boolean) => boolean;
	/** Clears the granted deadlines. Call it once everything on the minion has ended. */
	readonly reset: () => void;
};

/** Creates a lease with no deadline granted and an unknown minion clock. */
export function createMinionLease({timers, leaseMs, inheritedSinceMs, foreignLeaseUntilMs}: MinionLeaseOptions): MinionLease {
	let clock: ClockReading | undefined;
	let latestDeadlineMs = 0;

	return {
		recordClock(minionClockMs) {
			clock = {minionClockMs, receivedAtMs: timers.getNow()};
		},
		grant() {
			if (clock === undefined) {
				return undefined;
			}

			const deadlineMs = getLeaseDeadline(clock, {nowMs: timers.getNow(), leaseMs});
			latestDeadlineMs = Math.max(latestDeadlineMs, deadlineMs);
			return deadlineMs;
		},
		isExpired(isSynced) {
			const nowMs = timers.getNow();
			if (nowMs < foreignLeaseUntilMs) {
				return false;
			}

			if (clock === undefined || latestDeadlineMs === 0) {
				return !isSynced && nowMs - inheritedSinceMs > getInheritedLeaseMs(leaseMs);
			}

			return isLeaseOver(clock, {nowMs, deadlineMs: latestDeadlineMs});
		},
		reset() {
			clock = undefined;
			latestDeadlineMs = 0;
		},
	};
}
