import {
	createVirtualTimerService, toBrand, type JobId, type PoolId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createDemandMeter} from './demand-meter.js';

const pool = toBrand<PoolId>('counter');
const work = 10_000_000;

test('a burst shows within half a second, is over some seconds after its end, and its height is remembered for a while', () => {
	const timers = createVirtualTimerService(0);
	const meter = createDemandMeter(timers);
	let jobCount = 0;
	const handIn = (durationMs: number, gapMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
			jobCount += 1;
			meter.recordJob(pool, {id: toBrand<JobId>(String(jobCount)), work});
			timers.advance(gapMs);
		}
	};

	const look = () => ({rateCores: Math.round(meter.getRate(pool) / 1000), peakCores: Math.round(meter.getPeakRate(pool) / 1000)});
	handIn(10_000, 1000);
	const calm = look();
	handIn(500, 40);
	const soon = look();
	handIn(4000, 40);
	const atTheEnd = look();
	// One that is handed in again counts once.
	meter.recordJob(pool, {id: toBrand<JobId>(String(jobCount)), work});
	const afterResend = look();
	timers.advance(3100);
	const afterwards = look();
	timers.advance(46_000);
	expect({
		calm, soon, atTheEnd, afterResend, afterwards, muchLater: look(),
	}).toMatchInlineSnapshot(`
		{
		  "afterResend": {
		    "peakCores": 250,
		    "rateCores": 250,
		  },
		  "afterwards": {
		    "peakCores": 250,
		    "rateCores": 0,
		  },
		  "atTheEnd": {
		    "peakCores": 250,
		    "rateCores": 250,
		  },
		  "calm": {
		    "peakCores": 10,
		    "rateCores": 7,
		  },
		  "muchLater": {
		    "peakCores": 0,
		    "rateCores": 0,
		  },
		  "soon": {
		    "peakCores": 50,
		    "rateCores": 250,
		  },
		}
	`);
});
