import {setImmediate as nextTurn} from 'node:timers/promises';
import {createVirtualTimerService, toBrand} from '@samphiremill/common';
import type {IncarnationId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createFenceCheck} from './fence-check.js';

const first = toBrand<IncarnationId>('i-1@5');
const second = toBrand<IncarnationId>('i-2@5');
const commitMs = 10;
const periodMs = 250;

const create = ({isLeading = true, followers = 2}: {readonly isLeading?: boolean; readonly followers?: number} = {}) => {
	const timers = createVirtualTimerService(0);
	let giveWayCount = 0;
	const check = createFenceCheck({
		timers,
		log: {
			debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
		},
		confirmLead: async () => new Promise(resolve => {
			timers.scheduleOnce(commitMs, () => {
				resolve(isLeading);
			});
		}),
		countFollowers: () => followers,
		giveWay() {
			giveWayCount += 1;
		},
	});
	return {
		check,
		countGiveWays: () => giveWayCount,
		async advance(durationMs: number, onPeriod: () => void = () => undefined) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += commitMs) {
				if (passedMs % periodMs === 0) {
					onPeriod();
				}

				timers.advance(commitMs);
				await nextTurn(); // eslint-disable-line no-await-in-loop -- each step runs what is due
			}
		},
	};
};

test('one minion that always answers that it follows a newer leader deposes no leader that can commit, and holds it up once', async () => {
	const {check, countGiveWays, advance} = create();
	check.recordFenced(first);
	expect(check.isPending()).toBe(true);
	await advance(2 * commitMs);
	expect(check.isPending()).toBe(false);
	let pendingCount = 0;
	await advance(20_000, () => {
		check.recordFenced(first);
		pendingCount += check.isPending() ? 1 : 0;
	});
	expect({pendingCount, giveWays: countGiveWays()}).toEqual({pendingCount: 0, giveWays: 0});
});

test('a leader that cannot commit gives way and does not act any more', async () => {
	const {check, countGiveWays, advance} = create({isLeading: false});
	check.recordFenced(first);
	await advance(2 * commitMs);
	expect({isPending: check.isPending(), giveWays: countGiveWays()}).toEqual({isPending: true, giveWays: 1});
});

test('a leader that most minions do not follow gives way, as only a later term reaches them', async () => {
	const {check, countGiveWays, advance} = create({followers: 1});
	await advance(5000, () => {
		check.recordFenced(first);
		check.recordFenced(second);
	});
	expect(countGiveWays()).toBe(1);
});
