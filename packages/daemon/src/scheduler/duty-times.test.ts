import {createVirtualTimerService} from '@samphiremill/common';
import {expect, test} from 'vitest';
import type {StructuredLogger} from '../runtime/types.js';
import {createDutyTimes} from './duty-times.js';

test('a busy second is logged once, with what each duty took of it', () => {
	const timers = createVirtualTimerService(1000);
	const lines: Array<Record<string, unknown> | undefined> = [];
	const note: StructuredLogger['info'] = (_, fields) => {
		lines.push(fields);
	};

	const log: StructuredLogger = {
		debug: note, info: note, warn: note, error: note,
	};
	let work = {activeMs: 0, collectionMs: 0};
	const times = createDutyTimes({timers, log, getWork: () => work});
	expect(times.measure('plans', () => {
		timers.advance(200);
		return 7;
	})).toBe(7);
	times.measure('plans', () => {
		timers.advance(100);
	});
	timers.advance(600);
	times.report();
	expect(lines).toEqual([]);
	timers.advance(100);
	work = {activeMs: 800, collectionMs: 50};
	times.report();
	expect(lines).toEqual([{activeMs: 800, collectionMs: 50, duties: {plans: 300}}]);
	timers.advance(1000);
	work = {activeMs: 900, collectionMs: 50};
	times.report();
	expect(lines.length).toBe(1);
});
