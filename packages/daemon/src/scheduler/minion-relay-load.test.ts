/**
 * Load test: 300 minions are called ten times a second each and leave about one call in twenty unanswered. The
 * leader relays its calls because it cannot handle all of them itself. A relay is avoided after an unanswered call,
 * which must not move the calls back to the leader.
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
const durationMs = 5000;
const unansweredShare = 0.05;
const largestDirectShare = 0.1;

type StopAnswer = MinionAnswer<'stopping' | 'fenced'>;

test('unanswered calls do not move the calls of their minions from the relays back to the leader', async () => {
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
	const {port: minions} = createRelayedMinionPort({
		timers,
		direct,
		listRelays: () => Array.from({length: relayCount}, (_, index) => toBrand<NodeId>(`host-${index}`)),
		transport: {request: async () => createSuccess(answer())},
	});
	for (let passedMs = 0; passedMs < durationMs; passedMs += callPeriodMs) {
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
