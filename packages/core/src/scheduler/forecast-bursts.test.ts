import {toBrand, type PoolId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {
	forecastBursts, getBurstConfidence, emptyBurstHistory, recordInflow, type BurstHistory,
} from './forecast-bursts.js';

const pools = ['counter', 'office', 'candles', 'treasury'].map(name => toBrand<PoolId>(name));
const [counter, office, candles, treasury] = pools;
const burstMs = 4500;
const lull = 0.0125;

// Each pool bursts in turn; the others ask for a twentieth of their mean.
const playTurns = (turns: ReadonlyArray<PoolId | undefined>): BurstHistory => {
	let history = emptyBurstHistory;
	for (const [turn, bursting] of turns.entries()) {
		for (let atMs = turn * burstMs; atMs < (turn + 1) * burstMs; atMs += 100) {
			for (const pool of pools) {
				history = recordInflow(history, {
					pool, nowMs: atMs, inflowMillicores: pool === bursting ? 1000 : 1000 * lull, peakInflowMillicores: 1000,
				});
			}
		}
	}

	return history;
};

const describe = (history: BurstHistory) => forecastBursts(history, pools).map(({pool, expectedStartAtMs: beginsAtMs, confidence}) => `${pool} at ${beginsAtMs}: ${confidence.toFixed(2)}`);

test('turns are foretold once their length is known, by those that are left and then by their order', () => {
	expect({
		one: describe(playTurns([counter])),
		two: describe(playTurns([counter, office])),
		three: describe(playTurns([counter, office, candles])),
		all: describe(playTurns([counter, office, candles, treasury])),
		second: describe(playTurns([counter, office, candles, treasury, counter])),
		changedOrder: describe(playTurns([counter, office, candles, treasury, office])),
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

test('a pool is made ready a move ahead, and no longer than a burst may be late', () => {
	const forecasts = forecastBursts(playTurns([counter, office, candles]), pools);
	const at = (nowMs: number, pool = treasury) => pool === undefined ? 0 : getBurstConfidence(forecasts, {pool, nowMs, leadMs: 2500});
	expect([10_000, 11_000, 13_500, 15_000, 15_100].map(nowMs => at(nowMs))).toEqual([0, 1, 1, 1, 0]);
	expect(at(13_500, counter)).toBe(0);
});
