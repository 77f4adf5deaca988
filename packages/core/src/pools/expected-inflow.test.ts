import {createSeededRandom} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {getExpectedInflow} from './expected-inflow.js';
import {getInflow, getInflowLowerBound, type Arrival} from './inflow.js';

const burstMs = 9000;
const peakJobsPerSecond = 30;
const idleJobsPerSecond = 0.3;
const meanWork = 6_000_000;
const expectedInflowMillicores = 150_000;
const detectionShare = 0.2;

// A burst that rises and falls like half a sine wave, after some idle seconds. Jobs differ a lot in work.
const createBurst = (seed: number): readonly Arrival[] => {
	const random = createSeededRandom(seed);
	const arrivals: Arrival[] = [];
	for (let atMs = -20_000; atMs < burstMs; atMs += 10) {
		const jobsPerSecond = atMs < 0 ? idleJobsPerSecond : peakJobsPerSecond * Math.sin(Math.PI * atMs / burstMs);
		if (random() < jobsPerSecond / 100) {
			arrivals.push({atMs, work: meanWork * (0.3 + (random() * 1.4))});
		}
	}

	return arrivals;
};

const listArrivalsUntil = (arrivals: readonly Arrival[], nowMs: number) => arrivals.filter(({atMs}) => atMs <= nowMs);

const findFirstMs = (isReached: (nowMs: number) => boolean) => {
	for (let nowMs = -20_000; nowMs < burstMs; nowMs += 100) {
		if (isReached(nowMs)) {
			return nowMs;
		}
	}

	return undefined;
};

const replay = (arrivals: readonly Arrival[]) => {
	const isBurstSeen = (nowMs: number) => getInflowLowerBound(listArrivalsUntil(arrivals, nowMs), nowMs) >= expectedInflowMillicores * detectionShare;
	const startedAtMs = findFirstMs(isBurstSeen) ?? burstMs;
	const getExpected = (nowMs: number) => {
		const known = listArrivalsUntil(arrivals, nowMs);
		const submittedWork = known.reduce((sum, {atMs, work}) => sum + (atMs > startedAtMs ? work : 0), 0);
		return getExpectedInflow(getInflow(known, nowMs), nowMs < startedAtMs ? undefined : {ageMs: nowMs - startedAtMs, submittedWork, expectedInflowMillicores});
	};

	const neededMillicores = expectedInflowMillicores * 0.7;
	return {
		seenAtMs: startedAtMs,
		sizedAtMs: findFirstMs(nowMs => getExpected(nowMs) >= neededMillicores),
		measuredAtMs: findFirstMs(nowMs => getInflow(listArrivalsUntil(arrivals, nowMs), nowMs) >= neededMillicores),
	};
};

test('a burst is seen and sized in the first second or two of its rise, before its inflow is measured', () => {
	expect([1, 2, 3, 4].map(seed => replay(createBurst(seed)))).toMatchInlineSnapshot(`
		[
		  {
		    "measuredAtMs": 1200,
		    "seenAtMs": 500,
		    "sizedAtMs": 500,
		  },
		  {
		    "measuredAtMs": 2500,
		    "seenAtMs": 1800,
		    "sizedAtMs": 1800,
		  },
		  {
		    "measuredAtMs": 1600,
		    "seenAtMs": 600,
		    "sizedAtMs": 600,
		  },
		  {
		    "measuredAtMs": 1400,
		    "seenAtMs": 1100,
		    "sizedAtMs": 1100,
		  },
		]
	`);
});

test('the measured inflow counts where it is higher, and alone once the burst is past its rise', () => {
	const burst = {ageMs: 1000, submittedWork: 30_000_000, expectedInflowMillicores};
	expect({
		rising: getExpectedInflow(60_000, burst),
		higher: getExpectedInflow(200_000, burst),
		past: getExpectedInflow(60_000, {...burst, ageMs: 5000}),
		none: getExpectedInflow(60_000, undefined),
	}).toEqual({
		rising: 110_000, higher: 200_000, past: 60_000, none: 60_000,
	});
});
