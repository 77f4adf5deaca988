import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {playLosses, type Disturbance} from './test-losses.js';

const firstSeed = Number(process.env.SAMPHIREMILL_SEED ?? 41);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 1);
const losses = Number(process.env.SAMPHIREMILL_LOSSES ?? 3);

const cases = [3, 5, 7].flatMap(hostCount => (['none', 'passing', 'short'] as const).map((disturbance: Disturbance) => ({hostCount, disturbance})));

test.each(cases)('$hostCount control hosts have a leader, and all are voters, 4 s after each loss of a disk, with disturbance $disturbance', async plan => {
	for (let seed = firstSeed; seed < firstSeed + numberRuns; seed += 1) {
		await setImmediate(); // eslint-disable-line no-await-in-loop -- long runs would block the test runner's own messages
		expect(playLosses({...plan, seed, losses})).toBeGreaterThan(losses * 50);
	}
});
