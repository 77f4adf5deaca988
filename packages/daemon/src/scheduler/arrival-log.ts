/**
 * The jobs that arrived at one pool within a retention time. A job is added at each submission, so that adding costs what it
 * adds, not what is kept.
 */
import type {JobId} from '@samphiremill/common';
import type {Arrival} from '@samphiremill/core';

/** A submitted job and its work. */
export type IdentifiedArrival = Arrival & {readonly id: JobId};

/** The recent arrivals at one pool, oldest first. Times must not go back from call to call. */
export type ArrivalLog = {
	/** Adds an arrival, unless the same job arrived within the retention time. */
	readonly add: (arrival: IdentifiedArrival) => void;
	/** Lists the arrivals within the retention time. */
	readonly list: (nowMs: number) => readonly IdentifiedArrival[];
	/** Returns the work that arrived after a time, within the retention time, in millicore milliseconds. */
	readonly sumWorkSince: (sinceMs: number, nowMs: number) => number;
};

/**
 * Creates an empty log.
 *
 * @param retentionMs - How long an arrival is kept, in milliseconds.
 */
export function createArrivalLog(retentionMs: number): ArrivalLog {
	let arrivals: IdentifiedArrival[] = [];
	/** How many of the oldest have expired and are still in the array. */
	let expiredCount = 0;
	const ids = new Set<JobId>();

	const dropExpired = (nowMs: number) => {
		for (let oldest = arrivals[expiredCount]; oldest !== undefined && nowMs - oldest.atMs >= retentionMs; oldest = arrivals[expiredCount]) {
			ids.delete(oldest.id);
			expiredCount += 1;
		}

		// Rarely, since it copies what is kept.
		if (expiredCount * 2 > arrivals.length) {
			arrivals = arrivals.slice(expiredCount);
			expiredCount = 0;
		}
	};

	const findFirstAfter = (sinceMs: number): number => {
		let low = expiredCount;
		let high = arrivals.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((arrivals[middle]?.atMs ?? 0) > sinceMs) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return low;
	};

	return {
		add(arrival) {
			dropExpired(arrival.atMs);
			if (!ids.has(arrival.id)) {
				ids.add(arrival.id);
				arrivals.push(arrival);
			}
		},
		list(nowMs) {
			dropExpired(nowMs);
			return arrivals.slice(expiredCount);
		},
		sumWorkSince(sinceMs, nowMs) {
			dropExpired(nowMs);
			let sum = 0;
			// Oldest first, since the order matters for the last digits of the sum.
			for (let position = findFirstAfter(sinceMs); position < arrivals.length; position += 1) {
				sum += arrivals[position]?.work ?? 0;
			}

			return sum;
		},
	};
}
