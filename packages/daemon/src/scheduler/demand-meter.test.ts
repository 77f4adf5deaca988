import {
	createVirtualTimerService, toBrand, type JobId, type PoolId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createDemandMeter} from './demand-meter.js';

const pool = toBrand<PoolId>('counter');
const work = 10_000_000;

test('a burst shows in the rate within half a second, leaves it some seconds after its end, and stays in the peak rate for a while', () => {
	const timers = createVirtualTimerService(0);
	const meter = createDemandMeter(timers);
	let jobCount = 0;
	const submitJobs = (durationMs: number, gapMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += gapMs) {
			jobCount += 1;
			meter.recordJob(pool, {id: toBrand<JobId>(String(jobCount)), work});
			timers.advance(gapMs);
		}
	};

	const readRates = () => ({rateCores: Math.round(meter.getRate(pool) / 1000), peakCores: Math.round(meter.getPeakRate(pool) / 1000)});
	submitJobs(10_000, 1000);
	const calm = readRates();
	submitJobs(500, 40);
	const soon = readRates();
	submitJobs(4000, 40);
	const atTheEnd = readRates();
	// A job that is submitted again counts once.
	meter.recordJob(pool, {id: toBrand<JobId>(String(jobCount)), work});
	const afterResend = readRates();
	timers.advance(3100);
	const afterwards = readRates();
	timers.advance(46_000);
	expect({
		calm, soon, atTheEnd, afterResend, afterwards, muchLater: readRates(),
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

test('a rate takes as many readings of the clock however many jobs were submitted', () => {
	const countReadings = (jobCount: number) => {
		const timers = createVirtualTimerService();
		let count = 0;
		const meter = createDemandMeter({
			...timers,
			getNow() {
				count += 1;
				return timers.getNow();
			},
		});
		for (let number = 0; number < jobCount; number += 1) {
			meter.recordJob(pool, {id: toBrand<JobId>(String(number)), work: 1});
		}

		count = 0;
		meter.getRate(pool);
		meter.getRateLowerBound(pool);
		meter.getPeakRate(pool);
		meter.getWorkSince(pool, 0);
		return count;
	};

	expect(countReadings(500)).toBe(countReadings(1));
});
