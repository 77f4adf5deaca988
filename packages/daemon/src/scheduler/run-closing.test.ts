import {createVirtualTimerService} from '@samphiremill/common';
import {createLedger} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createLateStartGuard, type LateStartGuardOptions} from './run-closing.js';

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the parts of a session that the closing of no runs uses */
const createClosing = (leave: LateStartGuardOptions['removeIncarnation']) => createLateStartGuard({
	record: {minion: 'i-1', life: 'i-1@1'} as unknown as LateStartGuardOptions['record'],
	target: {minion: 'i-1'} as unknown as LateStartGuardOptions['target'],
	context: {
		timers: createVirtualTimerService(0), getLedger: createLedger, longestHoldMs: 6000, log: {info: () => undefined},
	} as unknown as LateStartGuardOptions['context'],
	listTrackedRuns: () => [],
	isOpen: () => true,
	sendStop: async () => true,
	endRuns: async () => true,
	removeIncarnation: leave,
});
/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */

test('a session that has seen another life of its minion gives way for good, also if the log did not take its departure', async () => {
	const reasons: string[] = [];
	const closing = createClosing(async reason => {
		reasons.push(reason);
	});
	expect(closing.isSuperseded()).toBe(false);
	await closing.handleNextIncarnation();
	expect(closing.isSuperseded()).toBe(true);
	await closing.handleNextIncarnation();
	expect(reasons).toEqual(['it began another life', 'it began another life']);
});
