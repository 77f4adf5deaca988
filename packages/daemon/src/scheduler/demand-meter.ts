/**
 * Rates of the work that callers submit, by pool: over the last seconds, and the peak of a longer time.
 */
import type {JobId, PoolId, TimerService} from '@samphiremill/common';
import {
	getInflow, getInflowLowerBound, inflowWindowMs, type Arrival,
} from '@samphiremill/core';
import {arrivalRetentionMs, peakDemandRetentionMs} from './constants.js';

/** Measures the work that is submitted. */
export type DemandMeter = {
	/** Adds a job; a job that is submitted again counts once. */
	readonly recordJob: (pool: PoolId, job: {readonly id: JobId; readonly work: number}) => void;
	/** Returns the work per millisecond, in millicores. */
	readonly getRate: (pool: PoolId) => number;
	/** Returns a rate that the submitted work exceeds with some confidence, in millicores. */
	readonly getRateLowerBound: (pool: PoolId) => number;
	/** Returns the highest remembered rate over the longest window, in millicores. */
	readonly getPeakRate: (pool: PoolId) => number;
	/** Returns the work that was submitted since a time at most `arrivalRetentionMs` ago, in millicore milliseconds. */
	readonly getWorkSince: (pool: PoolId, sinceMs: number) => number;
};

type IdentifiedArrival = Arrival & {readonly id: JobId};

const peakPeriodMs = 5000;

type Peak = {
	readonly sinceMs: number;
	readonly rate: number;
};

const sumWorkSince = (arrivals: readonly Arrival[], sinceMs: number) => arrivals.reduce((sum, {atMs, work}) => sum + (atMs > sinceMs ? work : 0), 0);

export function createDemandMeter(timers: TimerService): DemandMeter {
	const arrivals = new Map<PoolId, readonly IdentifiedArrival[]>();
	const peaks = new Map<PoolId, readonly Peak[]>();

	const getRecent = (pool: PoolId) => {
		const nowMs = timers.getNow();
		return (arrivals.get(pool) ?? []).filter(({atMs}) => nowMs - atMs < arrivalRetentionMs);
	};

	const listPeaks = (pool: PoolId) => {
		const nowMs = timers.getNow();
		return (peaks.get(pool) ?? []).filter(({sinceMs}) => nowMs - sinceMs < peakDemandRetentionMs);
	};

	const recordPeak = (pool: PoolId, rate: number) => {
		const known = listPeaks(pool);
		const latest = known.at(-1);
		const isInPeriod = latest !== undefined && timers.getNow() - latest.sinceMs < peakPeriodMs;
		peaks.set(pool, isInPeriod
			? [...known.slice(0, -1), {...latest, rate: Math.max(latest.rate, rate)}]
			: [...known, {sinceMs: timers.getNow(), rate}]);
	};

	return {
		recordJob(pool, {id, work}) {
			const recent = getRecent(pool);
			const now = recent.some(arrival => arrival.id === id) ? recent : [...recent, {id, atMs: timers.getNow(), work}];
			arrivals.set(pool, now);
			recordPeak(pool, sumWorkSince(now, timers.getNow() - inflowWindowMs) / inflowWindowMs);
		},
		getRate: pool => getInflow(getRecent(pool), timers.getNow()),
		getRateLowerBound: pool => getInflowLowerBound(getRecent(pool), timers.getNow()),
		getPeakRate: pool => Math.max(0, ...listPeaks(pool).map(({rate}) => rate)),
		getWorkSince: (pool, sinceMs) => sumWorkSince(getRecent(pool), sinceMs),
	};
}
