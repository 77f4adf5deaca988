/**
 * When the next burst of a pool is likely. Load pattern: the queues ask for several times their mean in
 * turn, each for some seconds. A worker takes about as long to come as a third of a burst lasts, so one
 * that is ordered when the burst shows comes late. Where the turns can't be told yet, nothing is foretold.
 */
import type {PoolId} from '@samphiremill/common';

/** A burst of demand on a pool. */
export type Burst = {
	readonly pool: PoolId;
	/** Monotonic time in milliseconds. */
	readonly startedAtMs: number;
};

/** The bursts that were seen. */
export type BurstHistory = {
	/** Oldest first. */
	readonly bursts: readonly Burst[];
	/** Pools whose burst goes on. */
	readonly bursting: ReadonlySet<PoolId>;
};

/** The demand on a pool at one moment. */
export type InflowReading = {
	readonly pool: PoolId;
	readonly nowMs: number;
	readonly inflowMillicores: number;
	/** The highest inflow that is remembered. */
	readonly peakInflowMillicores: number;
};

/** A burst that is expected. */
export type BurstForecast = {
	readonly pool: PoolId;
	/** Monotonic time in milliseconds. */
	readonly expectedStartAtMs: number;
	/** From 0 to 1. */
	readonly confidence: number;
};

/** Nothing was seen yet. */
export const emptyBurstHistory: BurstHistory = {bursts: [], bursting: new Set()};

// Parts of a pool's highest inflow between which neither a beginning nor an end is seen.
const startShareOfPeak = 0.5;
const endShareOfPeak = 0.2;
const maximumBurstsKept = 24;
const minimumGaps = 2;
// A burst that has not begun by then will not be waited for any more.
const maximumDelayMs = 1500;

/**
 * @param history - What was seen.
 * @param reading - The demand on a pool now.
 * @returns What has been seen.
 */
export function recordInflow(history: BurstHistory, {pool, nowMs, inflowMillicores, peakInflowMillicores}: InflowReading): BurstHistory {
	const {bursts, bursting} = history;
	const isBursting = bursting.has(pool);
	if (!isBursting && peakInflowMillicores > 0 && inflowMillicores >= peakInflowMillicores * startShareOfPeak) {
		return {
			bursts: [...bursts, {pool, beganAtMs: nowMs}].slice(-maximumBurstsKept),
			bursting: new Set([...bursting, pool]),
		};
	}

	return isBursting && inflowMillicores < peakInflowMillicores * endShareOfPeak
		? {bursts, bursting: new Set([...bursting].filter(other => other !== pool))}
		: history;
}

const getMedian = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const listGapsMs = (bursts: readonly Burst[]) => bursts.slice(1).map(({startedAtMs: beganAtMs}, index) => beganAtMs - (bursts[index]?.startedAtMs ?? beganAtMs));

// The pool that came after this one last time; if it never came before, one whose turn is longest ago.
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
 * @param history - What was seen.
 * @param pools - The pools that may have bursts.
 * @returns Which pools may burst next, and when.
 */
export function forecastBursts({bursts}: BurstHistory, pools: readonly PoolId[]): readonly BurstForecast[] {
	const latest = bursts.at(-1);
	const gapsMs = listGapsMs(bursts);
	if (latest === undefined || gapsMs.length < minimumGaps) {
		return [];
	}

	const next = listNextPools(bursts, pools);
	return next.map(pool => ({pool, beginsAtMs: latest.startedAtMs + getMedian(gapsMs), confidence: 1 / next.length}));
}

/**
 * @param forecasts - What is expected.
 * @param moment - A pool, the time, and how long a worker takes to come, both in milliseconds.
 * @returns How surely the pool is to be ready for a burst now, from 0 to 1.
 */
export function getBurstConfidence(forecasts: readonly BurstForecast[], {pool, nowMs, leadMs}: {readonly pool: PoolId; readonly nowMs: number; readonly leadMs: number}): number {
	const due = forecasts.find(forecast => forecast.pool === pool && nowMs >= forecast.expectedStartAtMs - leadMs && nowMs <= forecast.expectedStartAtMs + maximumDelayMs);
	return due?.confidence ?? 0;
}
