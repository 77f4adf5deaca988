/**
 * Rates of the work that callers submit, by pool: over the last seconds, and the peak of a longer time.
 */
import type {JobId, PoolId, TimerService} from '@samphiremill/common';
import {
	getInflow, getInflowLowerBound, inflowWindowMs,
} from '@samphiremill/core';
import {createArrivalLog, type ArrivalLog} from './arrival-log.js';
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

const peakPeriodMs = 5000;

type Peak = {
	readonly sinceMs: number;
	readonly rate: number;
};

export function createDemandMeter(timers: TimerService): DemandMeter {
	const arrivals = new Map<PoolId, ArrivalLog>();
	const peaks = new Map<PoolId, readonly Peak[]>();

	const getLog = (pool: PoolId): ArrivalLog => {
		const known = arrivals.get(pool) ?? createArrivalLog(arrivalRetentionMs);
		arrivals.set(pool, known);
		return known;
	};

	const getRecent = (pool: PoolId) => getLog(pool).list(timers.getNow());

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
			const nowMs = timers.getNow();
			const log = getLog(pool);
			log.add({id, atMs: nowMs, work});
			recordPeak(pool, log.sumWorkSince(nowMs - inflowWindowMs, nowMs) / inflowWindowMs);
		},
		getRate: pool => getInflow(getRecent(pool), timers.getNow()),
		getRateLowerBound: pool => getInflowLowerBound(getRecent(pool), timers.getNow()),
		getPeakRate: pool => Math.max(0, ...listPeaks(pool).map(({rate}) => rate)),
		getWorkSince: (pool, sinceMs) => getLog(pool).sumWorkSince(sinceMs, timers.getNow()),
	};
}
