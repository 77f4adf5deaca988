import {toBrand} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {maximumRememberedRequests} from './constants.js';
import {
	appendEntries, compactLog, createLog, getBytesBetween, getCompactionIndex, getLastIndex, getLastMessageIndex, getRequestsUpTo, truncateLog,
} from './log.js';
import type {LogEntry, ReplicaLog, RequestId} from './types.js';

const createEntries = (from: number, until: number) => Array.from({length: until - from}, (_, offset): LogEntry<string> => ({
	index: from + offset, term: 1, payload: {type: 'command', requestId: toBrand<RequestId>(`r${from + offset}`), command: 'x'},
}));

const measure = ({index}: LogEntry<unknown>) => index * 100;
const createMeasuredLog = (count: number) => appendEntries(createLog<string>({index: 0, term: 0}), createEntries(1, count + 1), measure);

const hasRequest = (log: ReturnType<typeof createLog<string>>, index: number) => log.requests.has(toBrand<RequestId>(`r${index}`));

test('a limited number of proposals is still recognised after compaction and after a snapshot', () => {
	const log = compactLog(appendEntries(createLog<string>({index: 0, term: 0}), createEntries(1, 21), undefined), 15);
	expect([1, 15, 16, 20].map(index => hasRequest(log, index))).toEqual([true, true, true, true]);
	const installed = createLog<string>({index: 18, term: 1}, getRequestsUpTo(log, 18));
	expect([1, 18, 19].map(index => hasRequest(installed, index))).toEqual([true, true, false]);
	const longer = compactLog(appendEntries(log, createEntries(21, 21 + maximumRememberedRequests), undefined), 20 + maximumRememberedRequests);
	expect([1, 20, 21].map(index => hasRequest(longer, index))).toEqual([false, false, true]);
});

test('a proposal whose entry was truncated may be appended again', () => {
	const log = truncateLog(appendEntries(createLog<string>({index: 0, term: 0}), createEntries(1, 6), undefined), 4);
	expect([3, 4, 5].map(index => hasRequest(log, index))).toEqual([true, false, false]);
});

test('the entries of one message stay within the size limit, and a larger entry is sent alone', () => {
	const log = createMeasuredLog(10);
	const take = (maximumBatchBytes: number) => getLastMessageIndex(log, {maximumBatchEntries: 64, maximumBatchBytes}, {previousIndex: 0, lastIndex: 10});
	expect([take(50), take(299), take(300), take(1000), take(1e9)]).toEqual([1, 1, 2, 4, 10]);
});

test('a message holds no more entries than the limit, and none beyond the last one that may be sent', () => {
	const log = createMeasuredLog(10);
	const take = (previousIndex: number, lastIndex: number) => getLastMessageIndex(log, {maximumBatchEntries: 3, maximumBatchBytes: 1e9}, {previousIndex, lastIndex});
	expect([take(0, 10), take(4, 6), take(10, 10)]).toEqual([3, 6, 10]);
});

type LogOperation = {readonly type: 'append'; readonly count: number} | {readonly type: 'compact' | 'truncate'; readonly share: number};

const operationArbitrary: fc.Arbitrary<LogOperation> = fc.oneof(
	fc.record({type: fc.constant('append' as const), count: fc.integer({min: 1, max: 5})}),
	fc.record({type: fc.constantFrom('compact' as const, 'truncate' as const), share: fc.double({min: 0, max: 1, noNaN: true})}),
);

const applyOperation = (log: ReplicaLog<string>, operation: LogOperation): ReplicaLog<string> => {
	if (operation.type === 'append') {
		const next = getLastIndex(log) + 1;
		return appendEntries(log, createEntries(next, next + operation.count), measure);
	}

	const index = log.baseIndex + Math.round(operation.share * log.entries.size);
	return operation.type === 'compact' ? compactLog(log, index) : truncateLog(log, index + 1);
};

const sumBytes = (entries: ReadonlyArray<LogEntry<string>>) => entries.reduce((sum, entry) => sum + measure(entry), 0);

test('bytes between two indexes are the sizes of the entries between, whatever was compacted, truncated or appended', () => {
	fc.assert(fc.property(fc.array(operationArbitrary, {maxLength: 30}), operations => {
		let log = createMeasuredLog(3);
		for (const operation of operations) {
			log = applyOperation(log, operation);
			const {baseIndex} = log;
			const entries = log.entries.toArray();
			const counted = getBytesBetween(log, {after: baseIndex, upTo: getLastIndex(log)});
			const countedFromMiddle = getBytesBetween(log, {after: baseIndex + Math.floor(entries.length / 2), upTo: getLastIndex(log)});
			expect([counted, countedFromMiddle]).toEqual([sumBytes(entries), sumBytes(entries.slice(Math.floor(entries.length / 2)))]);
		}
	}));
});

test('a snapshot leaves as many entries behind it as both limits allow', () => {
	const log = createMeasuredLog(10);
	const keepFrom = (trailingEntries: number, trailingBytes: number) => getCompactionIndex(log, 8, {trailingEntries, trailingBytes});
	expect([keepFrom(3, 1e9), keepFrom(100, 1e9), keepFrom(100, 1500), keepFrom(100, 799), keepFrom(0, 1e9)]).toEqual([5, 0, 6, 8, 8]);
});
