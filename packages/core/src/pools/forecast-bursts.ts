/**
 * Predicts which pool has the next burst of demand, and when. Load pattern: the queues take turns in asking for
 * several times their mean, each for a few seconds. Moving a worker to a pool takes about a third of a burst, so a
 * worker that is ordered when the burst becomes visible arrives late. While too few bursts were seen to know the
 * interval between them, no burst is predicted.
 */
import type {PoolId} from '@samphiremill/common';

/** A burst of demand on a pool. */
export type Burst = {
	readonly pool: PoolId;
	/** The start, as monotonic time in milliseconds. */
	readonly startedAtMs: number;
};

/** The bursts that were observed. */
export type BurstHistory = {
	/** Oldest first. */
	readonly bursts: readonly Burst[];
	/** The pools that are in a burst now. */
	readonly bursting: ReadonlySet<PoolId>;
};

/** A sample of the demand on a pool. */
export type InflowReading = {
	readonly pool: PoolId;
	readonly nowMs: number;
	readonly inflowMillicores: number;
	/** A rate that the inflow exceeds with some confidence. */
	readonly inflowLowerBoundMillicores: number;
	/** The highest inflow in the observed period. */
	readonly peakInflowMillicores: number;
};

/** A predicted burst. */
export type BurstForecast = {
	readonly pool: PoolId;
	/** The expected start, as monotonic time in milliseconds. */
	readonly expectedStartAtMs: number;
	/** The confidence in the prediction, from 0 to 1. */
	readonly confidence: number;
};

/** A history without any bursts. */
export const emptyBurstHistory: BurstHistory = {bursts: [], bursting: new Set()};

// A burst starts when the inflow exceeds this share of the pool's peak inflow with some confidence, and ends when both
// the measured inflow and its lower bound are below it.
const burstShareOfPeak = 0.2;
const maximumBurstsKept = 24;
const minimumGaps = 2;
// A predicted burst that has not started this long after its expected start is no longer expected.
const maximumDelayMs = 1500;

/** Adds a sample of a pool's demand to the history: the start or the end of a burst, if the sample shows one. */
export function recordInflow(history: BurstHistory, {pool, nowMs, inflowMillicores, inflowLowerBoundMillicores, peakInflowMillicores}: InflowReading): BurstHistory {
	const {bursts, bursting} = history;
	const isBursting = bursting.has(pool);
	if (!isBursting && peakInflowMillicores > 0 && inflowLowerBoundMillicores >= peakInflowMillicores * burstShareOfPeak) {
		return {
			bursts: [...bursts, {pool, startedAtMs: nowMs}].slice(-maximumBurstsKept),
			bursting: new Set([...bursting, pool]),
		};
	}

	return isBursting && Math.max(inflowMillicores, inflowLowerBoundMillicores) < peakInflowMillicores * burstShareOfPeak
		? {bursts, bursting: new Set([...bursting].filter(other => other !== pool))}
		: history;
}

const getMedian = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const listGapsMs = (bursts: readonly Burst[]) => bursts.slice(1).map(({startedAtMs}, index) => startedAtMs - (bursts[index]?.startedAtMs ?? startedAtMs));

// Returns the pool that followed the latest one last time. If that is unknown: the pools that had no burst yet, or
// otherwise the pool whose burst is longest ago.
const listNextPools = (bursts: readonly Burst[], pools: readonly PoolId[]): readonly PoolId[] => {
	const latest = bursts.at(-1)?.pool;
	const before = bursts.slice(0, -1).findLastIndex(({pool}) => pool === latest);
	const successor = before === -1 ? undefined : bursts[before + 1]?.pool;
	if (successor !== undefined && successor !== latest) {
		return [successor];
	}

	const unseen = pools.filter(pool => bursts.every(burst => burst.pool !== pool));
	const oldest = bursts.find(({pool}) => pool !== latest)?.pool;
	return unseen.length > 0 || oldest === undefined ? unseen : [oldest];
};

/**
 * Predicts the next burst: the candidate pools, with equal confidence, and the expected start.
 *
 * @param pools - The pools that may have bursts.
 */
export function forecastBursts({bursts}: BurstHistory, pools: readonly PoolId[]): readonly BurstForecast[] {
	const latest = bursts.at(-1);
	const gapsMs = listGapsMs(bursts);
	if (latest === undefined || gapsMs.length < minimumGaps) {
		return [];
	}

	const next = listNextPools(bursts, pools);
	return next.map(pool => ({pool, expectedStartAtMs: latest.startedAtMs + getMedian(gapsMs), confidence: 1 / next.length}));
}

/**
 * Returns the confidence, from 0 to 1, with which a pool has to be prepared for a burst now.
 *
 * @param moment - A pool, the monotonic time, and how long a worker takes to arrive, both in milliseconds.
 */
export function getBurstConfidence(forecasts: readonly BurstForecast[], {pool, nowMs, leadMs}: {readonly pool: PoolId; readonly nowMs: number; readonly leadMs: number}): number {
	const due = forecasts.find(forecast => forecast.pool === pool && nowMs >= forecast.expectedStartAtMs - leadMs && nowMs <= forecast.expectedStartAtMs + maximumDelayMs);
	return due?.confidence ?? 0;
}
