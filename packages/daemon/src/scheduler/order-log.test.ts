import {
	createVirtualTimerService, toBrand, type MinionId, type NodeId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createOrderLog} from './order-log.js';
import type {ClusterAnswer, ClusterCall} from './types.js';

const play = (call: ClusterCall, answer: ClusterAnswer, attemptCount: number) => {
	const timers = createVirtualTimerService(0);
	const lines: unknown[] = [];
	const recorded: unknown[] = [];
	const ignoreLine = () => undefined;
	const beginOrder = createOrderLog({
		timers,
		log: {
			debug: ignoreLine,
			info(message, data) {
				lines.push([message, data]);
			},
			warn: ignoreLine,
			error: ignoreLine,
		},
		metrics: {
			record(name, durationMs) {
				recorded.push([name, durationMs]);
			},
		},
		getLead: () => ({
			role: 'follower', term: 3, leader: toBrand<NodeId>('10.0.0.1'), hasDuties: false,
		}),
		readConfigurationVersion: document => document === '' ? undefined : Number(document),
	});
	const trace = beginOrder(call);
	for (let attempt = 0; attempt < attemptCount; attempt += 1) {
		timers.advance(100);
		trace?.addAttempt({to: toBrand<NodeId>('10.0.0.1'), tookMs: 100, result: 'noAnswer'});
	}

	trace?.end(answer);
	return {lines, recorded};
};

test('the line of an order leads from its version to the hosts that were asked, and the time that each took', () => {
	expect(play({type: 'configuration/replace', document: '17'}, {type: 'done'}, 1)).toMatchInlineSnapshot(`
		{
		  "lines": [
		    [
		      "order for configuration 17: done",
		      {
		        "answer": "done",
		        "attemptCount": 1,
		        "attempts": [
		          {
		            "result": "noAnswer",
		            "to": "10.0.0.1",
		            "tookMs": 100,
		          },
		        ],
		        "lead": {
		          "hasDuties": false,
		          "leader": "10.0.0.1",
		          "role": "follower",
		          "term": 3,
		        },
		        "leadAtArrival": {
		          "hasDuties": false,
		          "leader": "10.0.0.1",
		          "role": "follower",
		          "term": 3,
		        },
		        "order": "configuration 17",
		        "tookMs": 100,
		      },
		    ],
		  ],
		  "recorded": [
		    [
		      "order_confirmed_ms",
		      100,
		    ],
		  ],
		}
	`);
});

test('the line of an order has a bounded number of attempts', () => {
	const {lines, recorded} = play({type: 'minion/leave', minion: toBrand<MinionId>('i-1'), bornAtMs: undefined}, {type: 'uncertain'}, 30);
	expect(lines).toHaveLength(1);
	expect(lines[0]).toMatchObject(['order for leave of minion i-1: uncertain', {attemptCount: 30, tookMs: 3000}]);
	expect(JSON.stringify(lines).length).toBeLessThan(1200);
	expect(recorded).toEqual([['order_failed_ms', 3000]]);
});

test('a configuration that cannot be read has a line, and a call that is no order has none', () => {
	expect(play({type: 'configuration/replace', document: ''}, {type: 'invalidRequest', message: 'not JSON'}, 0)).toMatchObject({
		lines: [['order for configuration of unknown version: invalidRequest', {}]], recorded: [['order_rejected_ms', 0]],
	});
	expect(play({type: 'configuration/read'}, {type: 'noConfiguration'}, 0)).toEqual({lines: [], recorded: []});
});
