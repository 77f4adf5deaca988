import {createVirtualTimerService, toBrand} from '@samphiremill/common';
import {createLedger, type IncarnationId, type MinionRecord} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {openMinionSession} from './minion-session.js';
import type {SessionContext} from './session-context.js';
import type {HoldReport, MinionAnswer} from './types.js';

const emptyListing: MinionAnswer<HoldReport> = {type: 'answered', clockMs: 1, value: {bornAtMs: 1, running: [], finished: []}};

test('a listing without news starts no timer and proposes nothing (incident 51)', async () => {
	const clock = createVirtualTimerService();
	let timerCount = 0;
	let commitCount = 0;
	let holdCount = 0;
	const context = {
		timers: {
			...clock,
			scheduleOnce(delayMs: number, callback: () => void) {
				timerCount += 1;
				return clock.scheduleOnce(delayMs, callback);
			},
		},
		minions: {
			async hold() {
				holdCount += 1;
				if (holdCount === 10) {
					// The last call waits at the minion.
					await new Promise(() => {
						// Never settles.
					});
				}

				return emptyListing;
			},
		},
		log: {info: () => undefined, warn: () => undefined, error: () => undefined},
		metrics: {count: () => undefined},
		fencingToken: 1,
		leaseMs: 3000,
		longestHoldMs: 6000,
		termBeganAtMs: 0,
		getLedger: createLedger,
		canAct: () => true,
		async commit() {
			commitCount += 1;
			return true;
		},
		getWallClock: () => 0,
		onMinionsChanged: () => undefined,
	};
	const record = {
		life: toBrand<IncarnationId>('i-1@1'), minion: 'i-1', bornAtMs: 1, address: '127.0.0.1:1',
	};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- all that an idle session uses
	openMinionSession(record as unknown as MinionRecord, context as unknown as SessionContext);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	expect({holdCount, timerCount, commitCount}).toEqual({holdCount: 10, timerCount: 0, commitCount: 0});
});
