/**
 * The lease that covers all runs of one minion. Deadlines are on the minion's own clock.
 */
import type {TimerService} from '@samphiremill/common';
import {
	getInheritedLeaseMs, getLeaseDeadline, isLeaseOver, type ClockReading,
} from '@samphiremill/core';
import {createClockReadings} from './clock-readings.js';
import {unansweredStartWindowMs} from './constants.js';

export type MinionLeaseOptions = {
	readonly timers: TimerService;
	readonly leaseMs: number;
	/** The longest lease in milliseconds that a minion accepts, whatever deadline it is given. */
	readonly longestHoldMs: number;
	/** Start of the term on the monotonic clock. Leases granted by earlier leaders may still be valid for some time after it. */
	readonly inheritedSinceMs: number;
	/** Returns until when a lease may be valid that a call for an earlier incarnation granted, on the monotonic clock. */
	readonly getForeignLeaseUntilMs: () => number;
};

/** What the end of a lease is counted from. */
export type LeaseDescription = {
	/** The deadline that the leader granted, or the longest lease that an earlier leader may have granted. */
	readonly basis: 'granted' | 'inherited';
	/** The latest deadline granted, on the minion's clock; `undefined` if none was. */
	readonly deadlineMs: number | undefined;
	/** How long ago it was granted, or the term began, in milliseconds. */
	readonly ageMs: number;
	/** For how long a lease that was granted to an earlier incarnation has been over, in milliseconds; `undefined` if there was none. */
	readonly foreignOverMs: number | undefined;
};

/** The lease of one minion incarnation. */
export type MinionLease = {
	/**
	 * Records a reading of the minion's clock that was received now. One that is further ahead than the time since the
	 * earlier ones allows is not used before a second one confirms it.
	 *
	 * @param sentAtMs - When the reading was requested, on the monotonic clock.
	 */
	readonly recordClock: (minionClockMs: number, sentAtMs: number) => void;
	/** Whether an answer since the last listing showed a clock that has started anew, so that answers without a start time may be of another incarnation. */
	readonly hasClockRestarted: () => boolean;
	/** Records that the incarnation itself has answered a call that was sent at this time. */
	readonly recordOwnAnswer: (sentAtMs: number) => void;
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
	/** Returns what the end of the lease is counted from, for the log. */
	readonly describe: () => LeaseDescription;
	/** Clears the granted deadlines. Call it once everything on the minion has ended. */
	readonly reset: () => void;
};

/** Creates a lease with no deadline granted and an unknown minion clock. */
export function createMinionLease({timers, leaseMs, longestHoldMs, inheritedSinceMs, getForeignLeaseUntilMs}: MinionLeaseOptions): MinionLease {
	const readings = createClockReadings();
	let clock: ClockReading | undefined;
	let latestDeadlineMs = 0;
	let grantedAtMs = 0;
	let clockRestartedAtMs = Number.NEGATIVE_INFINITY;
	let ownAnswerSentAtMs = 0;
	// Of a deadline that was granted on a false reading; the call with the last one may be carried out late.
	const longestValidityMs = unansweredStartWindowMs + getInheritedLeaseMs(longestHoldMs);

	return {
		recordClock(minionClockMs, sentAtMs) {
			const reading = {minionClockMs, sentAtMs, receivedAtMs: timers.getNow()};
			clockRestartedAtMs = readings.isBehind(reading) ? timers.getNow() : clockRestartedAtMs;
			readings.record(reading);
			clock = readings.getLatest() === reading ? reading : clock;
		},
		hasClockRestarted: () => clockRestartedAtMs >= ownAnswerSentAtMs,
		recordOwnAnswer(sentAtMs) {
			ownAnswerSentAtMs = sentAtMs;
		},
		grant() {
			if (clock === undefined) {
				return undefined;
			}

			grantedAtMs = timers.getNow();
			const deadlineMs = getLeaseDeadline(clock, {nowMs: grantedAtMs, leaseMs});
			latestDeadlineMs = Math.max(latestDeadlineMs, deadlineMs);
			return deadlineMs;
		},
		describe() {
			const nowMs = timers.getNow();
			const foreignUntilMs = getForeignLeaseUntilMs();
			const isGranted = latestDeadlineMs > 0;
			return {
				basis: isGranted ? 'granted' : 'inherited',
				deadlineMs: isGranted ? latestDeadlineMs : undefined,
				ageMs: Math.round(nowMs - (isGranted ? grantedAtMs : inheritedSinceMs)),
				foreignOverMs: foreignUntilMs === 0 ? undefined : Math.round(nowMs - foreignUntilMs),
			};
		},
		isExpired(isSynced) {
			const nowMs = timers.getNow();
			if (nowMs < getForeignLeaseUntilMs()) {
				return false;
			}

			if (clock === undefined || latestDeadlineMs === 0) {
				return !isSynced && nowMs - inheritedSinceMs > getInheritedLeaseMs(leaseMs);
			}

			return isLeaseOver(clock, {nowMs, deadlineMs: latestDeadlineMs}) || nowMs - grantedAtMs > longestValidityMs;
		},
		reset() {
			clock = undefined;
			latestDeadlineMs = 0;
		},
	};
}
