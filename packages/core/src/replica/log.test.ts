import {toBrand} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {maximumRememberedRequests} from './constants.js';
import {
	appendEntries, compactLog, createLog, getRequestsUpTo, limitEntriesBySize, truncateLog,
} from './log.js';
import type {LogEntry, RequestId} from './types.js';

const createEntries = (from: number, until: number) => Array.from({length: until - from}, (_, offset): LogEntry<string> => ({
	index: from + offset, term: 1, payload: {type: 'command', requestId: toBrand<RequestId>(`r${from + offset}`), command: 'x'},
}));

const hasRequest = (log: ReturnType<typeof createLog<string>>, index: number) => log.requests.has(toBrand<RequestId>(`r${index}`));

test('a proposal is still known after its entry was compacted and after a snapshot, up to a bound', () => {
	const log = compactLog(appendEntries(createLog<string>({index: 0, term: 0}), createEntries(1, 21)), 15);
	expect([1, 15, 16, 20].map(index => hasRequest(log, index))).toEqual([true, true, true, true]);
	const installed = createLog<string>({index: 18, term: 1}, getRequestsUpTo(log, 18));
	expect([1, 18, 19].map(index => hasRequest(installed, index))).toEqual([true, true, false]);
	const longer = compactLog(appendEntries(log, createEntries(21, 21 + maximumRememberedRequests)), 20 + maximumRememberedRequests);
	expect([1, 20, 21].map(index => hasRequest(longer, index))).toEqual([false, false, true]);
});

test('a proposal whose entry was replaced may be appended again', () => {
	const log = truncateLog(appendEntries(createLog<string>({index: 0, term: 0}), createEntries(1, 6)), 4);
	expect([3, 4, 5].map(index => hasRequest(log, index))).toEqual([true, false, false]);
});

test('entries for one message stay within its size, and a single larger one is sent alone', () => {
	const entries = createEntries(1, 11);
	const take = (maximumBytes: number) => limitEntriesBySize(entries, {measureEntry: ({index}) => index * 100, maximumBytes}).map(({index}) => index);
	expect([take(50), take(299), take(300), take(1000), take(1e9)]).toEqual([[1], [1], [1, 2], [1, 2, 3, 4], [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]]);
});
