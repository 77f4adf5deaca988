import {List, Map as ImmutableMap} from 'immutable';
import {maximumRememberedRequests} from './constants.js';
import type {
	IndexedRequest, LogEntry, ReplicaConfig, ReplicaLog, RequestId, VoterIdentity,
} from './types.js';

/**
 * @param base - The index and term of the entry before the first retained one.
 * @param requests - The newest proposals up to there.
 * @returns A log without entries.
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

/**
 * @param log - The log.
 * @returns The index of its last entry, 0 for an empty log.
 */
export function getLastIndex<Command>(log: ReplicaLog<Command>): number {
	return log.baseIndex + log.entries.size;
}

/**
 * @param log - The log.
 * @param index - Any index.
 * @returns The entry, or nothing where it is compacted or not there yet.
 */
export function getEntry<Command>(log: ReplicaLog<Command>, index: number): LogEntry<Command> | undefined {
	return index <= log.baseIndex ? undefined : log.entries.get(index - log.baseIndex - 1);
}

/**
 * @param log - The log.
 * @param index - Any index.
 * @returns The entry's term, or nothing where the log does not know it.
 */
export function getTerm<Command>(log: ReplicaLog<Command>, index: number): number | undefined {
	return index === log.baseIndex ? log.baseTerm : getEntry(log, index)?.term;
}

/**
 * @param log - The log.
 * @returns The term of its last entry.
 */
export function getLastTerm<Command>(log: ReplicaLog<Command>): number {
	return log.entries.last()?.term ?? log.baseTerm;
}

/**
 * @param log - The log.
 * @param range - The first index and the index after the last.
 * @returns The entries of the range that the log holds.
 */
export function getEntries<Command>(
	log: ReplicaLog<Command>,
	range: {readonly from: number; readonly until: number},
): ReadonlyArray<LogEntry<Command>> {
	return log.entries.slice(Math.max(0, range.from - log.baseIndex - 1), Math.max(0, range.until - log.baseIndex - 1)).toArray();
}

/**
 * Takes the entries of one message. A message that is larger than a peer accepts would be dropped each
 * time, and the peer never catch up.
 *
 * @param log - The log.
 * @param cfg - The bounds of a message, and the size of an entry.
 * @param range - The first index and the index after the last that may be sent.
 * @returns As many entries as one message may hold.
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
 * @param entries - Entries to send.
 * @param bounds - The size of an entry, and of all together, in bytes.
 * @returns As many of the first ones as stay within the bound, but at least one.
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
 * @param log - The log.
 * @param entries - Entries that follow its last one without a gap.
 * @returns The longer log.
 */
export function appendEntries<Command>(log: ReplicaLog<Command>, entries: ReadonlyArray<LogEntry<Command>>): ReplicaLog<Command> {
	return {...log, entries: log.entries.push(...entries), requests: addRequests(log.requests, getRequests(entries))};
}

/**
 * @param log - The log.
 * @param fromIndex - The first index to drop.
 * @returns The shorter log.
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
 * @param log - The log.
 * @param newBaseIndex - The last index to drop.
 * @returns The log without the entries up to that index.
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
 * @param log - The log.
 * @param index - An index that the log holds.
 * @returns The newest proposals up to the index, oldest first.
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
 * Finds the voter set in force at the end of the log.
 *
 * @param log - The log.
 * @param fallback - The set in force at the log's base.
 * @returns The newest set.
 */
export function getLatestVoters<Command>(log: ReplicaLog<Command>, fallback: IndexedVoters): IndexedVoters {
	const entry = log.entries.findLast(({payload}) => payload.type === 'voters');
	return entry?.payload.type === 'voters' ? {voters: entry.payload.voters, index: entry.index} : fallback;
}
