import {createVirtualTimerService, toBrand, type MinionId} from '@samphiremill/common';
import {createIncarnationId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {endedIncarnationRetentionMs} from './constants.js';
import {createEndedIncarnations} from './ended-incarnations.js';

test('reports of an incarnation that was taken for ended are ignored for a while, not to the end of the term', () => {
	const timers = createVirtualTimerService(0);
	const ended = createEndedIncarnations(timers);
	const life = createIncarnationId(toBrand<MinionId>('i-1'), 1);
	ended.markEnded(life);
	timers.advance(endedIncarnationRetentionMs);
	expect(ended.has(life)).toBe(true);
	timers.advance(1);
	expect(ended.has(life)).toBe(false);
});
