import {
	createFailure, createSuccess, toBrand, type MinionId, type NodeId, type WaveId,
} from '@samphiremill/common';
import type {StoreId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {getAnswerAfterDoubt} from './answer-after-doubt.js';
import {createTestClusterClient} from './test-cluster-client.js';
import type {ClusterAnswer, ClusterCall} from './types.js';

const target = {host: 'h', path: '/q/0000000000000001', key: 'k'};

const calls: readonly ClusterCall[] = [
	{type: 'job/submit', target, specification: {payload: '', steps: [], schedule: undefined}},
	{type: 'job/read', target},
	{type: 'job/cancel', target},
	{type: 'configuration/replace', document: '{}'},
	{type: 'configuration/read'},
	{type: 'minion/leave', minion: toBrand<MinionId>('i-1'), bornAtMs: 1},
	{type: 'wave/start', wave: {wave: toBrand<WaveId>('w'), workers: [], maximumAtOnce: 1}, durationMs: 1},
	{type: 'wave/read', wave: toBrand<WaveId>('w')},
	{type: 'host/join', node: toBrand<NodeId>('n'), storeId: toBrand<StoreId>('s')},
	{type: 'limits/read'},
	{type: 'minion/reportsSeen', reports: []},
];

const answers: readonly ClusterAnswer[] = [
	{type: 'accepted'},
	{type: 'refused', reason: 'poolFull', retryAfterMs: 1},
	{type: 'jobState', state: 'queued'},
	{type: 'unknownJob'},
	{type: 'unknownQueue'},
	{type: 'unknownKey'},
	{type: 'invalidRequest', message: 'm'},
	{type: 'noConfiguration'},
	{type: 'done'},
	{type: 'unavailable'},
];

// Review of issue 44, case 4: a job ran although its caller was told 401, after an attempt whose outcome was uncertain.
test('after an uncertain attempt only what is true whatever became of it is passed on', () => {
	const table = calls.map(call => `${call.type}: ${answers.map(answer => {
		const {type} = getAnswerAfterDoubt(call, answer);
		return type === answer.type ? type : `(${answer.type})`;
	}).join(' ')}`);
	expect(table).toMatchInlineSnapshot(`
		[
		  "job/submit: accepted (refused) jobState (unknownJob) (unknownQueue) (unknownKey) (invalidRequest) (noConfiguration) done (unavailable)",
		  "job/read: accepted (refused) jobState unknownJob unknownQueue unknownKey invalidRequest noConfiguration done unavailable",
		  "job/cancel: accepted (refused) jobState (unknownJob) (unknownQueue) (unknownKey) (invalidRequest) (noConfiguration) done (unavailable)",
		  "configuration/replace: accepted (refused) jobState (unknownJob) (unknownQueue) (unknownKey) invalidRequest (noConfiguration) done (unavailable)",
		  "configuration/read: accepted (refused) jobState unknownJob unknownQueue unknownKey invalidRequest noConfiguration done unavailable",
		  "minion/leave: accepted (refused) jobState (unknownJob) (unknownQueue) (unknownKey) (invalidRequest) (noConfiguration) done (unavailable)",
		  "wave/start: accepted (refused) jobState (unknownJob) (unknownQueue) (unknownKey) (invalidRequest) (noConfiguration) done (unavailable)",
		  "wave/read: accepted (refused) jobState unknownJob unknownQueue unknownKey invalidRequest noConfiguration done unavailable",
		  "host/join: accepted (refused) jobState (unknownJob) (unknownQueue) (unknownKey) (invalidRequest) (noConfiguration) done (unavailable)",
		  "limits/read: accepted (refused) jobState unknownJob unknownQueue unknownKey invalidRequest noConfiguration done unavailable",
		  "minion/reportsSeen: accepted (refused) jobState unknownJob unknownQueue unknownKey invalidRequest noConfiguration done unavailable",
		]
	`);
});

test.each(['unknownKey', 'unknownQueue', 'noConfiguration'] as const)('a submission whose first attempt got no answer is uncertain when the second one is answered %s', async type => {
	let attempts = 0;
	const {client, passTime} = createTestClusterClient(() => async () => {
		attempts += 1;
		return attempts === 1 ? createFailure({type: 'peer/noAnswer'}) : createSuccess<unknown>({type: 'answer', leader: 'control-1', answer: {type}});
	});
	const result = client.call(calls[0]!, {timeoutMs: 3000});
	await passTime(1000);
	expect([attempts, await result]).toEqual([2, {type: 'uncertain'}]);
});
