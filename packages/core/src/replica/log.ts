import {List, Map as ImmutableMap} from 'immutable';
import {maximumRememberedRequests} from './constants.js';
import type {
	IndexedRequest, LogEntry, ReplicaConfig, ReplicaLimits, ReplicaLog, RequestId, VoterIdentity,
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
		endOffsets: List(),
		baseOffset: 0,
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

// The offset behind an entry. What is compacted counts as before the first retained entry.
const getEndOffset = <Command>({baseIndex, baseOffset, endOffsets}: ReplicaLog<Command>, index: number): number => index <= baseIndex
	? baseOffset
	: endOffsets.get(index - baseIndex - 1) ?? endOffsets.last() ?? baseOffset;

/**
 * Returns the bytes of the retained entries after one index up to another; 0 if entries are not measured.
 *
 * @param range - The index before the first entry, and the index of the last one.
 */
export function getBytesBetween<Command>(log: ReplicaLog<Command>, {after, upTo}: {readonly after: number; readonly upTo: number}): number {
	return Math.max(0, getEndOffset(log, upTo) - getEndOffset(log, after));
}

/**
 * Returns the index of the last entry that one message may hold. A message holds at least one entry: a single one that is larger than
 * the limit still fits into a frame.
 *
 * @param limits - The maximum numbers of entries and of their bytes in a message.
 * @param previousIndex - The index before the first entry of the message.
 * @param lastIndex - The last index that may be sent.
 */
export function getLastMessageIndex<Command>(
	log: ReplicaLog<Command>,
	{maximumBatchEntries, maximumBatchBytes}: Pick<ReplicaLimits, 'maximumBatchEntries' | 'maximumBatchBytes'>,
	{previousIndex, lastIndex}: {readonly previousIndex: number; readonly lastIndex: number},
): number {
	const longest = Math.min(lastIndex, previousIndex + maximumBatchEntries);
	let index = Math.min(longest, previousIndex + 1);
	while (index < longest && getBytesBetween(log, {after: previousIndex, upTo: index + 1}) <= maximumBatchBytes) {
		index += 1;
	}

	return index;
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
 * @param measureEntry - Returns the bytes of an entry. Without it, no entry counts towards a limit in bytes.
 */
export function appendEntries<Command>(
	log: ReplicaLog<Command>,
	entries: ReadonlyArray<LogEntry<Command>>,
	measureEntry: ReplicaConfig['measureEntry'],
): ReplicaLog<Command> {
	let offset = log.endOffsets.last() ?? log.baseOffset;
	const endOffsets = entries.map(entry => {
		offset += measureEntry?.(entry) ?? 0;
		return offset;
	});
	return {
		...log,
		entries: log.entries.push(...entries),
		endOffsets: log.endOffsets.push(...endOffsets),
		requests: addRequests(log.requests, getRequests(entries)),
	};
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
		endOffsets: log.endOffsets.take(size),
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
		endOffsets: log.endOffsets.skip(count),
		baseOffset: getEndOffset(log, newBaseIndex),
		compactedRequests: compacted.takeLast(maximumRememberedRequests),
		requests: removeRequests(log.requests, compacted.skipLast(maximumRememberedRequests)),
	};
}

/**
 * Returns the index up to which entries may be removed behind a snapshot. The newest ones are kept for peers that are a little
 * behind; a peer that is further behind gets the snapshot.
 *
 * @param snapshotIndex - The last index of the snapshot.
 * @param limits - The maximum numbers of entries, and of their bytes, to keep.
 */
export function getCompactionIndex<Command>(
	log: ReplicaLog<Command>,
	snapshotIndex: number,
	{trailingEntries, trailingBytes}: Pick<ReplicaLimits, 'trailingEntries' | 'trailingBytes'>,
): number {
	let index = Math.min(snapshotIndex, Math.max(log.baseIndex, snapshotIndex - trailingEntries));
	while (index < snapshotIndex && getBytesBetween(log, {after: index, upTo: snapshotIndex}) > trailingBytes) {
		index += 1;
	}

	return index;
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
