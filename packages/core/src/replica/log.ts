import {List, Map as ImmutableMap} from 'immutable';
import {maximumRememberedRequests} from './constants.js';
import type {
	IndexedRequest, LogEntry, ReplicaConfig, ReplicaLog, RequestId, VoterIdentity,
} from './types.js';

/**
 * Creates a log without entries.
 *
 * @param base - The index and term of the entry before the first retained one.
 * @param requests - The newest proposals up to the base.
 */
export function createLog<Command>(
	base: {readonly index: number; readonly term: number},
	requests: readonly IndexedRequest[] = [],
): ReplicaLog<Command> {
	return {
		baseIndex: base.index,
		baseTerm: base.term,
		entries: List(),
		compactedRequests: List(requests),
		requests: ImmutableMap(requests.map(({requestId, index}) => [requestId, index] as const)),
	};
}

/** Returns the index of the last entry, or 0 for an empty log. */
export function getLastIndex<Command>(log: ReplicaLog<Command>): number {
	return log.baseIndex + log.entries.size;
}

/** Returns an entry, or undefined if it is compacted or does not exist yet. */
export function getEntry<Command>(log: ReplicaLog<Command>, index: number): LogEntry<Command> | undefined {
	return index <= log.baseIndex ? undefined : log.entries.get(index - log.baseIndex - 1);
}

/** Returns the term of an entry, or undefined if the log does not know it. */
export function getTerm<Command>(log: ReplicaLog<Command>, index: number): number | undefined {
	return index === log.baseIndex ? log.baseTerm : getEntry(log, index)?.term;
}

/** Returns the term of the last entry. */
export function getLastTerm<Command>(log: ReplicaLog<Command>): number {
	return log.entries.last()?.term ?? log.baseTerm;
}

/**
 * Returns the entries of a range that the log holds.
 *
 * @param range - The first index and the index after the last one.
 */
export function getEntries<Command>(
	log: ReplicaLog<Command>,
	range: {readonly from: number; readonly until: number},
): ReadonlyArray<LogEntry<Command>> {
	return log.entries.slice(Math.max(0, range.from - log.baseIndex - 1), Math.max(0, range.until - log.baseIndex - 1)).toArray();
}

/**
 * Returns as many entries as one message may hold. A peer would drop a message above its size limit each time
 * and never catch up.
 *
 * @param cfg - The limits of a message and the function that measures an entry.
 * @param range - The first index and the index after the last one that may be sent.
 */
export function getMessageEntries<Command>(
	log: ReplicaLog<Command>,
	{measureEntry, limits: {maximumBatchEntries, maximumBatchBytes}}: ReplicaConfig,
	{from, until}: {readonly from: number; readonly until: number},
): ReadonlyArray<LogEntry<Command>> {
	const entries = getEntries(log, {from, until: Math.min(until, from + maximumBatchEntries)});
	return measureEntry === undefined ? entries : limitEntriesBySize(entries, {measureEntry, maximumBytes: maximumBatchBytes});
}

/**
 * Returns as many of the first entries as stay within the size limit, but at least one.
 *
 * @param limits - The function that measures an entry, and the maximum total size, in bytes.
 */
export function limitEntriesBySize<Command>(
	entries: ReadonlyArray<LogEntry<Command>>,
	{measureEntry, maximumBytes}: {readonly measureEntry: (entry: LogEntry<unknown>) => number; readonly maximumBytes: number},
): ReadonlyArray<LogEntry<Command>> {
	let bytes = 0;
	const firstExcluded = entries.findIndex((entry, position) => {
		bytes += measureEntry(entry);
		return position > 0 && bytes > maximumBytes;
	});
	return firstExcluded === -1 ? entries : entries.slice(0, firstExcluded);
}

const getRequests = <Command>(entries: Iterable<LogEntry<Command>>): readonly IndexedRequest[] =>
	[...entries].flatMap(({index, payload}) => payload.type === 'command' ? [{requestId: payload.requestId, index}] : []);

const addRequests = (requests: ImmutableMap<RequestId, number>, added: readonly IndexedRequest[]) =>
	requests.withMutations(mutable => {
		for (const {requestId, index} of added) {
			mutable.set(requestId, index);
		}
	});

const removeRequests = (requests: ImmutableMap<RequestId, number>, removed: Iterable<IndexedRequest>) =>
	requests.withMutations(mutable => {
		for (const {requestId, index} of removed) {
			if (mutable.get(requestId) === index) {
				mutable.delete(requestId);
			}
		}
	});

/**
 * Returns the log with entries appended.
 *
 * @param entries - Entries that follow the last one without a gap.
 */
export function appendEntries<Command>(log: ReplicaLog<Command>, entries: ReadonlyArray<LogEntry<Command>>): ReplicaLog<Command> {
	return {...log, entries: log.entries.push(...entries), requests: addRequests(log.requests, getRequests(entries))};
}

/**
 * Returns the log without the entries from an index on.
 *
 * @param fromIndex - The first index to remove.
 */
export function truncateLog<Command>(log: ReplicaLog<Command>, fromIndex: number): ReplicaLog<Command> {
	const size = Math.max(0, fromIndex - log.baseIndex - 1);
	return {
		...log,
		entries: log.entries.take(size),
		requests: removeRequests(log.requests, getRequests(log.entries.skip(size))),
	};
}

/**
 * Returns the log without the entries up to an index.
 *
 * @param newBaseIndex - The last index to remove.
 */
export function compactLog<Command>(log: ReplicaLog<Command>, newBaseIndex: number): ReplicaLog<Command> {
	const baseTerm = getTerm(log, newBaseIndex);
	if (baseTerm === undefined || newBaseIndex <= log.baseIndex) {
		return log;
	}

	const count = newBaseIndex - log.baseIndex;
	const compacted = log.compactedRequests.push(...getRequests(log.entries.take(count)));
	return {
		baseIndex: newBaseIndex,
		baseTerm,
		entries: log.entries.skip(count),
		compactedRequests: compacted.takeLast(maximumRememberedRequests),
		requests: removeRequests(log.requests, compacted.skipLast(maximumRememberedRequests)),
	};
}

/**
 * Returns the newest proposals up to an index, oldest first.
 *
 * @param index - An index that the log holds.
 */
export function getRequestsUpTo<Command>(log: ReplicaLog<Command>, index: number): readonly IndexedRequest[] {
	const retained = getRequests(log.entries.take(Math.max(0, index - log.baseIndex)));
	return log.compactedRequests.push(...retained).takeLast(maximumRememberedRequests).toArray();
}

/** A voter set and the index of the entry that set it. */
export type IndexedVoters = {
	readonly voters: readonly VoterIdentity[];
	readonly index: number;
};

/**
 * Returns the newest voter set in the log.
 *
 * @param fallback - The voter set at the base of the log, returned if no entry sets a newer one.
 */
export function getLatestVoters<Command>(log: ReplicaLog<Command>, fallback: IndexedVoters): IndexedVoters {
	const entry = log.entries.findLast(({payload}) => payload.type === 'voters');
	return entry?.payload.type === 'voters' ? {voters: entry.payload.voters, index: entry.index} : fallback;
}
