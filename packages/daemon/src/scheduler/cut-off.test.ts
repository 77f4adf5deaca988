import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {cutOffAfterMs, isCutOff} from './cut-off.js';

const near = toBrand<NodeId>('near');
const far = toBrand<NodeId>('far');
const nowMs = 60_000;

const decide = (lastLinkedAtMs: Partial<Record<string, number>>, {linked = [], startedAtMs = 0}: {readonly linked?: readonly NodeId[]; readonly startedAtMs?: number} = {}) => isCutOff({
	nowMs, startedAtMs, hosts: [near, far], isLinked: host => linked.includes(host), getLastLinkedAtMs: host => lastLinkedAtMs[host],
});

// Incident 77: a cut-off host held orders for 3 s, and their senders came back to it before they tried another one.
test('a host that has lost all links is cut off, and one that has any is not', () => {
	expect({
		allLost: decide({near: nowMs - cutOffAfterMs - 1, far: 1000}),
		lostJustNow: decide({near: nowMs - cutOffAfterMs, far: 1000}),
		oneLinked: decide({near: 1000}, {linked: [far]}),
		startedJustNow: decide({}, {startedAtMs: nowMs - cutOffAfterMs}),
		neverLinked: decide({}),
	}).toMatchInlineSnapshot(`
		{
		  "allLost": true,
		  "lostJustNow": false,
		  "neverLinked": true,
		  "oneLinked": false,
		  "startedJustNow": false,
		}
	`);
});
