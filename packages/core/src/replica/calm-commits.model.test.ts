import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {playCalm} from './test-calm-commits.js';

const firstSeed = Number(process.env.SAMPHIREMILL_SEED ?? 77);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 1);

/** An order has to be confirmed within this time of calm. */
const orderBoundMs = 4000;

// Incident 77: an order of the operator was not confirmed in calm.
test.each([3, 5])('%i control hosts commit in calm, whichever one of them is lost, empty, new or has a bad disk', async hostCount => {
	for (let seed = firstSeed; seed < firstSeed + numberRuns; seed += 1) {
		await setImmediate(); // eslint-disable-line no-await-in-loop -- long runs would block the test runner's own messages
		const {waitMs, since} = playCalm({seed, hostCount, faults: 8});
		if (process.env.SAMPHIREMILL_TRACE !== undefined) {
			process.stdout.write(`${waitMs} ms since ${since}\n`);
		}

		expect(waitMs, since).toBeLessThan(orderBoundMs);
	}
});
