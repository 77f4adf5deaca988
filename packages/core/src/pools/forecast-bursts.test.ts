import {toBrand, type PoolId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {
	forecastBursts, getBurstConfidence, emptyBurstHistory, recordInflow, type BurstHistory,
} from './forecast-bursts.js';

const pools = ['counter', 'office', 'candles', 'treasury'].map(name => toBrand<PoolId>(name));
const [counter, office, candles, treasury] = pools;
const burstMs = 4500;
const idleShareOfPeak = 0.0125;

// The given pools have a burst one after the other. Pools without a burst ask for a twentieth of their mean.
const simulateBursts = (turns: ReadonlyArray<PoolId | undefined>): BurstHistory => {
	let history = emptyBurstHistory;
	for (const [turn, bursting] of turns.entries()) {
		for (let atMs = turn * burstMs; atMs < (turn + 1) * burstMs; atMs += 100) {
			for (const pool of pools) {
				history = recordInflow(history, {
					pool, nowMs: atMs, inflowMillicores: pool === bursting ? 1000 : 1000 * idleShareOfPeak, inflowLowerBoundMillicores: pool === bursting ? 500 : 0, peakInflowMillicores: 1000,
				});
			}
		}
	}

	return history;
};

const formatForecasts = (history: BurstHistory) => forecastBursts(history, pools).map(({pool, expectedStartAtMs, confidence}) => `${pool} at ${expectedStartAtMs}: ${confidence.toFixed(2)}`);

test('the next burst is predicted once the interval is known: first among pools without a burst so far, then by the order of the pools', () => {
	expect({
		one: formatForecasts(simulateBursts([counter])),
		two: formatForecasts(simulateBursts([counter, office])),
		three: formatForecasts(simulateBursts([counter, office, candles])),
		all: formatForecasts(simulateBursts([counter, office, candles, treasury])),
		second: formatForecasts(simulateBursts([counter, office, candles, treasury, counter])),
		changedOrder: formatForecasts(simulateBursts([counter, office, candles, treasury, office])),
	}).toMatchInlineSnapshot(`
		{
		  "all": [
		    "counter at 18000: 1.00",
		  ],
		  "changedOrder": [
		    "candles at 22500: 1.00",
		  ],
		  "one": [],
		  "second": [
		    "office at 22500: 1.00",
		  ],
		  "three": [
		    "treasury at 13500: 1.00",
		  ],
		  "two": [],
		}
	`);
});

test('a pool is prepared one move ahead of an expected burst, until the burst is later than the maximum delay', () => {
	const forecasts = forecastBursts(simulateBursts([counter, office, candles]), pools);
	const at = (nowMs: number, pool = treasury) => pool === undefined ? 0 : getBurstConfidence(forecasts, {pool, nowMs, leadMs: 2500});
	expect([10_000, 11_000, 13_500, 15_000, 15_100].map(nowMs => at(nowMs))).toEqual([0, 1, 1, 1, 0]);
	expect(at(13_500, counter)).toBe(0);
});

test('a burst that ebbs and flows counts once, as long as jobs keep coming', () => {
	let history = emptyBurstHistory;
	for (let atMs = 0; atMs < 2000; atMs += 100) {
		history = recordInflow(history, {
			pool: counter!, nowMs: atMs, inflowMillicores: atMs % 400 === 0 ? 600 : 100, inflowLowerBoundMillicores: 250, peakInflowMillicores: 1000,
		});
	}

	expect(history.bursts).toHaveLength(1);
});
