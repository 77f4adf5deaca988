/**
 * Leases run on the minion's own steady clock, which is known only from its answers and may be slow.
 */
import {leaseMarginMs, minimumClockRate} from './constants.js';

/** A reading of a minion's clock. */
export type ClockReading = {
	/** What the minion's clock showed, in its milliseconds. */
	readonly minionClockMs: number;
	/** When the answer with the reading arrived, on the own monotonic clock. */
	readonly receivedAtMs: number;
};

/**
 * @param reading - The newest reading.
 * @param grant - The present monotonic time and the length of the lease.
 * @returns Until when a lease holds that is granted now, on the minion's clock, in whole milliseconds.
 */
export function getLeaseDeadline(reading: ClockReading, {nowMs, leaseMs}: {readonly nowMs: number; readonly leaseMs: number}): number {
	return Math.floor(reading.minionClockMs + nowMs - reading.receivedAtMs + leaseMs);
}

/**
 * @param reading - The newest reading.
 * @param lease - The present monotonic time and the latest deadline that was ever granted.
 * @returns Whether the minion's clock has passed the deadline even if it is as slow as allowed.
 */
export function isLeaseOver(reading: ClockReading, {nowMs, deadlineMs}: {readonly nowMs: number; readonly deadlineMs: number}): boolean {
	const minimumMinionClockMs = reading.minionClockMs + ((nowMs - reading.receivedAtMs) * minimumClockRate);
	return minimumMinionClockMs > deadlineMs + leaseMarginMs;
}

/**
 * @param leaseMs - The length of every lease.
 * @returns How long a new leader waits until leases granted by earlier ones are over, where the minion
 * does not answer.
 */
export function getInheritedLeaseMs(leaseMs: number): number {
	return (leaseMs + (2 * leaseMarginMs)) / minimumClockRate;
}
