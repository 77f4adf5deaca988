import {createVirtualTimerService} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createStartAttribution, type SentStart} from './start-attribution.js';
import type {MinionAnswer, StartResult} from './types.js';

const answerAt = (clockMs: number): MinionAnswer<StartResult> => ({type: 'answered', value: {type: 'started'}, clockMs});

const listedClockMs = 500;

const create = () => {
	const timers = createVirtualTimerService(0);
	const attribution = createStartAttribution(timers);
	attribution.recordListing([], listedClockMs);
	return {
		attribution,
		send: async (answer: MinionAnswer<StartResult>) => attribution.send(async () => answer),
		sendUnanswered() {
			let settle: (answer: MinionAnswer<StartResult>) => void = () => undefined;
			const sent = attribution.send(async () => new Promise(resolve => {
				settle = resolve;
			}));
			return {sent, settle};
		},
		async listDoubtful() {
			const listed = attribution.listDoubtful();
			timers.advance(100);
			return listed;
		},
	};
};

test.each<[string, MinionAnswer<StartResult>, number]>([
	['answered with a later clock', answerAt(501), 0],
	['answered with an earlier clock', answerAt(499), 1],
	['without an answer', {type: 'noAnswer'}, 1],
	['that was not sent', {type: 'notSent'}, 0],
	['refused by an unhealthy minion', {type: 'unhealthy'}, 0],
])('a start %s', async (_, answer, doubtfulCount) => {
	const {attribution, send, listDoubtful} = create();
	expect(await send(answer)).toEqual(answer);
	const doubtful = await listDoubtful();
	expect(doubtful).toHaveLength(doubtfulCount);
	attribution.recordListing(doubtful, 600);
	expect(await listDoubtful()).toEqual([]);
});

test('a start that is not answered during the wait is in doubt until a listing that was requested later, and again if another incarnation answers it', async () => {
	const {attribution, sendUnanswered, listDoubtful} = create();
	const {sent, settle} = sendUnanswered();
	const doubtful: readonly SentStart[] = await listDoubtful();
	expect(doubtful).toHaveLength(1);
	attribution.recordListing(doubtful, 600);
	settle(answerAt(20));
	await sent;
	expect(await listDoubtful()).toHaveLength(1);
});

test('a start that is answered during the wait, and one that is sent during it, are not in doubt', async () => {
	const {attribution, sendUnanswered, listDoubtful} = create();
	const {settle} = sendUnanswered();
	const listed = attribution.listDoubtful();
	sendUnanswered();
	settle(answerAt(501));
	expect(await listed).toEqual([]);
	expect(await listDoubtful()).toHaveLength(1);
});

test('a listing with a clock that is an hour ahead puts starts in doubt until the next listing only', async () => {
	const {attribution, send, listDoubtful} = create();
	attribution.recordListing([], 3_600_000);
	await send(answerAt(501));
	const doubtful = await listDoubtful();
	expect(doubtful).toHaveLength(1);
	attribution.recordListing(doubtful, 510);
	await send(answerAt(520));
	expect(await listDoubtful()).toEqual([]);
});
