import {
	createFailure, createSuccess, createVirtualTimerService, toBrand, type NodeId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createClusterClient} from './cluster-client.js';

const attemptMs = 300;
const call = {type: 'limits/read'} as const;

const setUp = (error: 'peer/notSent' | 'peer/noAnswer') => {
	const timers = createVirtualTimerService(0);
	let attempts = 0;
	const client = createClusterClient({
		timers,
		self: toBrand<NodeId>('entry'),
		seeds: [toBrand<NodeId>('control-1'), toBrand<NodeId>('control-2')],
		transport: {
			async request() {
				attempts += 1;
				await new Promise<void>(resolve => {
					timers.scheduleOnce(attemptMs, resolve);
				});
				return createFailure({type: error});
			},
		},
	});
	const passTime = async (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
			timers.advance(50);
			await Promise.resolve(); // eslint-disable-line no-await-in-loop -- time moves on step by step
			await Promise.resolve(); // eslint-disable-line no-await-in-loop -- time moves on step by step
			await Promise.resolve(); // eslint-disable-line no-await-in-loop -- time moves on step by step
		}
	};

	return {
		timers, client, passTime, countAttempts: () => attempts,
	};
};

test('a call of a host that is cut off is refused before it is sent', async () => {
	const {client, countAttempts} = setUp('peer/notSent');
	expect(await client.call(call, {timeoutMs: 3000, shouldGiveUp: () => true})).toEqual({type: 'notRun'});
	expect(countAttempts()).toBe(0);
});

test.each([['peer/notSent', 'notRun'], ['peer/noAnswer', 'uncertain']] as const)('a call that is under way when its host is cut off ends then (%s: %s)', async (error, outcome) => {
	const {timers, client, passTime} = setUp(error);
	let endedAtMs = Number.POSITIVE_INFINITY;
	const result = client.call(call, {timeoutMs: 5000, shouldGiveUp: () => timers.getNow() >= 1000}).finally(() => {
		endedAtMs = timers.getNow();
	});
	await passTime(2000);
	expect(endedAtMs).toBeLessThanOrEqual(1000 + attemptMs + 100);
	expect(await result).toEqual({type: outcome});
});

test.each([[['lost', 'refused'], 'uncertain'], [['refused'], 'answered']] as const)('a refusal says that nothing was done only if no earlier attempt may have been carried out (%j)', async (outcomes, expected) => {
	const timers = createVirtualTimerService(0);
	let attempt = 0;
	const refusal = {
		type: 'answer', leader: 'control-1', answer: {type: 'refused', reason: 'poolFull', retryAfterMs: 1000},
	};
	const client = createClusterClient({
		timers,
		self: toBrand<NodeId>('entry'),
		seeds: [toBrand<NodeId>('control-1'), toBrand<NodeId>('control-2')],
		transport: {
			async request() {
				attempt += 1;
				return outcomes[attempt - 1] === 'lost' ? createFailure({type: 'peer/noAnswer'}) : createSuccess<unknown>(refusal);
			},
		},
	});
	const result = client.call(call, {timeoutMs: 3000});
	for (let passedMs = 0; passedMs < 1000; passedMs += 50) {
		timers.advance(50);
		await Promise.resolve(); // eslint-disable-line no-await-in-loop -- time moves on step by step
	}

	const {type} = await result;
	expect(type).toBe(expected);
});
