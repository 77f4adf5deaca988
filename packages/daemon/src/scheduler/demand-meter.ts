/**
 * Rates of the work that callers submit, by pool: over the last seconds, and the peak of a longer time.
 */
import type {JobId, PoolId, TimerService} from '@samphiremill/common';
import {peakDemandRetentionMs} from './constants.js';

/** Measures the work that is submitted. */
export type DemandMeter = {
	/** Adds a job; a job that is submitted again counts once. */
	readonly recordJob: (pool: PoolId, job: {readonly id: JobId; readonly work: number}) => void;
	/** Returns the work per millisecond, in millicores. */
	readonly getRate: (pool: PoolId) => number;
	/** Returns the highest remembered rate over `maximumWindowMs`, in millicores. */
	readonly getPeakRate: (pool: PoolId) => number;
};

type Arrival = {
	readonly id: JobId;
	readonly atMs: number;
	readonly work: number;
};

// A rate is taken over the shortest window that holds this many jobs, since single jobs differ a lot in work.
const jobsPerWindow = 8;
const minimumWindowMs = 400;
const maximumWindowMs = 3000;
const peakPeriodMs = 5000;

type Peak = {
	readonly sinceMs: number;
	readonly rate: number;
};

export function createDemandMeter(timers: TimerService): DemandMeter {
	const arrivals = new Map<PoolId, readonly Arrival[]>();
	const peaks = new Map<PoolId, readonly Peak[]>();

	const getRecent = (pool: PoolId) => (arrivals.get(pool) ?? []).filter(({atMs}) => timers.getNow() - atMs < maximumWindowMs);

	const getAverageRate = (recent: readonly Arrival[], windowMs: number) => recent
		.filter(({atMs}) => timers.getNow() - atMs <= windowMs)
		.reduce((sum, {work}) => sum + work, 0) / windowMs;

	const listPeaks = (pool: PoolId) => (peaks.get(pool) ?? []).filter(({sinceMs}) => timers.getNow() - sinceMs < peakDemandRetentionMs);

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
			recordPeak(pool, getAverageRate(now, maximumWindowMs));
		},
		getRate(pool) {
			const recent = getRecent(pool);
			const earliest = recent.at(-jobsPerWindow);
			return getAverageRate(recent, earliest === undefined ? maximumWindowMs : Math.max(minimumWindowMs, timers.getNow() - earliest.atMs));
		},
		getPeakRate: pool => Math.max(0, ...listPeaks(pool).map(({rate}) => rate)),
	};
}
