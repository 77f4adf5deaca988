/**
 * Readings of a minion's clock. A reading that is ahead of what the earlier ones allow is false, or this host's own clock
 * stood still. Leases would count as over too soon, or as valid for too long, so a second such reading has to confirm it.
 */
import {leaseMarginMs, minimumClockRate, type ClockReading} from '@samphiremill/core';

/** A reading with the time at which it was requested, on the leader's monotonic clock. */
export type TimedClockReading = ClockReading & {
	readonly sentAtMs: number;
};

/** The readings of one incarnation's clock. */
export type ClockReadings = {
	readonly record: (reading: TimedClockReading) => void;
	/** Returns the latest reading that is believed. */
	readonly getLatest: () => ClockReading | undefined;
	/** Returns whether a reading is behind what the latest one allows, as of a clock that has started anew. */
	readonly isBehind: (reading: TimedClockReading) => boolean;
};

// The clock may run slow, never fast.
const isAhead = (reading: TimedClockReading, earlier: TimedClockReading) =>
	reading.minionClockMs - earlier.minionClockMs > reading.receivedAtMs - earlier.sentAtMs + leaseMarginMs;

const isBehind = (reading: TimedClockReading, earlier: TimedClockReading) =>
	reading.minionClockMs - earlier.minionClockMs < ((reading.sentAtMs - earlier.receivedAtMs) * minimumClockRate) - leaseMarginMs;

export function createClockReadings(): ClockReadings {
	let latest: TimedClockReading | undefined;
	let unconfirmed: TimedClockReading | undefined;

	const isBelieved = (reading: TimedClockReading) => {
		if (latest === undefined || !isAhead(reading, latest)) {
			return true;
		}

		return unconfirmed !== undefined && !isAhead(reading, unconfirmed) && !isBehind(reading, unconfirmed);
	};

	return {
		record(reading) {
			if (isBelieved(reading)) {
				latest = reading;
				unconfirmed = undefined;
			} else {
				unconfirmed = reading;
			}
		},
		getLatest: () => latest,
		isBehind: reading => latest !== undefined && isBehind(reading, latest),
	};
}
