import {createVirtualTimerService} from '@samphiremill/common';
import {createLedger} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createRunClosing, type RunClosingOptions} from './run-closing.js';

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the parts of a session that the closing of no runs uses */
const createClosing = (leave: RunClosingOptions['leave']) => createRunClosing({
	record: {minion: 'i-1', life: 'i-1@1'} as unknown as RunClosingOptions['record'],
	target: {minion: 'i-1'} as unknown as RunClosingOptions['target'],
	context: {
		timers: createVirtualTimerService(0), getLedger: createLedger, longestHoldMs: 6000, log: {info: () => undefined},
	} as unknown as RunClosingOptions['context'],
	listControls: () => [],
	isOpen: () => true,
	sendStop: async () => true,
	endRuns: async () => true,
	leave,
});
/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */

test('a session that has seen another life of its minion gives way for good, also if the log did not take its departure', async () => {
	const reasons: string[] = [];
	const closing = createClosing(async reason => {
		reasons.push(reason);
	});
	expect(closing.isGivingWay()).toBe(false);
	await closing.giveWay();
	expect(closing.isGivingWay()).toBe(true);
	await closing.giveWay();
	expect(reasons).toEqual(['it began another life', 'it began another life']);
});
