import {createVirtualTimerService} from '@samphiremill/common';
import {expect, test} from 'vitest';
import type {StructuredLogger} from '../runtime/types.js';
import {createDutyTimes} from './duty-times.js';

test('a busy period is logged once, with the time of each duty', () => {
	const timers = createVirtualTimerService(1000);
	const lines: Array<Record<string, unknown> | undefined> = [];
	const recordFields: StructuredLogger['info'] = (_, fields) => {
		lines.push(fields);
	};

	const log: StructuredLogger = {
		debug: recordFields, info: recordFields, warn: recordFields, error: recordFields,
	};
	let work = {activeMs: 0, collectionMs: 0};
	let traffic = {sentFrames: 10, dials: 2};
	const dutyTimes = createDutyTimes({
		timers, log, getProcessTimes: () => work, getTraffic: () => traffic,
	});
	expect(dutyTimes.measure('plans', () => {
		timers.advance(200);
		return 7;
	})).toBe(7);
	dutyTimes.measure('plans', () => {
		timers.advance(100);
	});
	timers.advance(600);
	dutyTimes.report();
	expect(lines).toEqual([]);
	timers.advance(100);
	work = {activeMs: 800, collectionMs: 50};
	traffic = {sentFrames: 15, dials: 2};
	dutyTimes.report();
	expect(lines).toEqual([{
		activeMs: 800, collectionMs: 50, duties: {plans: 300}, counts: {plans: 2}, traffic: {sentFrames: 5},
	}]);
	timers.advance(1000);
	work = {activeMs: 900, collectionMs: 50};
	dutyTimes.report();
	expect(lines.length).toBe(1);
});
