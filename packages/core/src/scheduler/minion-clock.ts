/**
 * Lease deadlines on a minion's monotonic clock. The leader knows that clock only from the minion's answers, and
 * it may run slow.
 */
import {leaseMarginMs, minimumClockRate} from './constants.js';

/** A reading of a minion's clock. */
export type ClockReading = {
	/** The reading, in milliseconds of the minion's clock. */
	readonly minionClockMs: number;
	/** When the answer with the reading arrived, on the leader's monotonic clock. */
	readonly receivedAtMs: number;
};

/** Returns the deadline of a lease that is granted now, in whole milliseconds of the minion's clock. */
export function getLeaseDeadline(reading: ClockReading, {nowMs, leaseMs}: {readonly nowMs: number; readonly leaseMs: number}): number {
	return Math.floor(reading.minionClockMs + nowMs - reading.receivedAtMs + leaseMs);
}

/**
 * Returns whether a lease has expired for certain: the minion's clock has passed the deadline even if it runs at
 * the lowest allowed rate.
 *
 * @param lease - The current time of the leader's monotonic clock, and the latest deadline that was ever granted.
 */
export function isLeaseOver(reading: ClockReading, {nowMs, deadlineMs}: {readonly nowMs: number; readonly deadlineMs: number}): boolean {
	const minimumMinionClockMs = reading.minionClockMs + ((nowMs - reading.receivedAtMs) * minimumClockRate);
	return minimumMinionClockMs > deadlineMs + leaseMarginMs;
}

/**
 * Returns how long a new leader waits until the leases that earlier leaders granted have expired, if the minion
 * does not answer.
 */
export function getInheritedLeaseMs(leaseMs: number): number {
	return (leaseMs + (2 * leaseMarginMs)) / minimumClockRate;
}
