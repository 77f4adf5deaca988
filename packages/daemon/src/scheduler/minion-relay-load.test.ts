/**
 * Load pattern: hundreds of minions, each called some ten times a second, leave about one call in twenty
 * unanswered for some seconds. The leader has its calls relayed since it can't bear them all itself.
 */
import {
	createSeededRandom, createSuccess, createVirtualTimerService, toBrand, type MinionId, type NodeId,
} from '@samphiremill/common';
import type {IncarnationId, TaskId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createRelayedMinionPort} from './minion-relay.js';
import type {MinionAnswer, MinionPort} from './types.js';

const minionCount = 300;
const relayCount = 7;
const callPeriodMs = 100;
const lengthMs = 5000;
const unansweredShare = 0.05;
const largestDirectShare = 0.1;

type StopAnswer = MinionAnswer<'stopping' | 'fenced'>;

test('minions that leave some calls unanswered do not bring all their calls back to the leader', async () => {
	const timers = createVirtualTimerService();
	const random = createSeededRandom(1);
	let calls = 0;
	let directCalls = 0;
	const answer = (): StopAnswer => random() < unansweredShare ? {type: 'noAnswer'} : {type: 'answered', value: 'stopping', clockMs: 5};
	const direct: MinionPort = {
		hold: async () => ({type: 'noAnswer'}),
		start: async () => ({type: 'noAnswer'}),
		async stop() {
			directCalls += 1;
			return answer();
		},
		pace: async () => ({type: 'noAnswer'}),
		retain: () => undefined,
	};
	const minions = createRelayedMinionPort({
		timers,
		direct,
		listRelays: () => Array.from({length: relayCount}, (_, index) => toBrand<NodeId>(`host-${index}`)),
		transport: {request: async () => createSuccess(answer())},
	});
	for (let passedMs = 0; passedMs < lengthMs; passedMs += callPeriodMs) {
		for (let index = 0; index < minionCount; index += 1) {
			calls += 1;
			// eslint-disable-next-line no-await-in-loop -- one call after the other
			await minions.stop({
				target: {
					life: toBrand<IncarnationId>(`i-${index}@1`), minion: toBrand<MinionId>(`i-${index}`), bornAtMs: 1, address: `10.0.${index}.1:80`,
				}, fencingToken: 3, task: toBrand<TaskId>('a.0.0.0'), run: 1, timeoutMs: 450,
			});
		}

		timers.advance(callPeriodMs);
	}

	expect(directCalls / calls).toBeLessThan(largestDirectShare);
});
