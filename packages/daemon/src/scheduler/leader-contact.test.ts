import {createVirtualTimerService, toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createLeaderContact} from './leader-contact.js';
import {createSchedulerMetrics} from './metrics.js';

test('the loss and the return of the contact with the leader are logged once each', () => {
	const timers = createVirtualTimerService(0);
	const lines: Array<readonly [string, unknown]> = [];
	const write = (message: string, fields?: unknown) => {
		lines.push([message, fields]);
	};

	const contact = createLeaderContact({
		timers,
		log: {
			debug: write, info: write, warn: write, error: write,
		},
		metrics: createSchedulerMetrics(),
		timeoutMs: 2500,
		getHosts: () => [toBrand<NodeId>('10.0.0.1')],
	});
	const states: boolean[] = [];
	const step = (durationMs: number) => {
		timers.advance(durationMs);
		contact.report();
		states.push(contact.isEstablished());
	};

	step(1000);
	contact.recordAnswer();
	step(1000);
	step(1000);
	step(1000);
	step(1000);
	contact.recordAnswer();
	step(1000);
	expect(states).toEqual([false, true, true, false, false, true]);
	expect(lines).toMatchInlineSnapshot(`
		[
		  [
		    "no leader has answered for 3000 ms; callers are refused",
		    {
		      "hosts": [
		        "10.0.0.1",
		      ],
		      "silentMs": 3000,
		    },
		  ],
		  [
		    "a leader answers again",
		    {
		      "lostMs": 5000,
		    },
		  ],
		]
	`);
});
