import {List} from 'immutable';
import type {
	HardState, LogEntry, PersistEffect, RecoveredReplica, ReplicaSnapshot,
} from './types.js';

/** The content of a disk after a number of writes. */
export type PersistedState<Command> = {
	readonly hardState: HardState;
	readonly snapshot: ReplicaSnapshot | undefined;
	readonly entries: List<LogEntry<Command>>;
};

/** The content of one write, as a store keeps it. */
export type PersistedWrite<Command> = Omit<PersistEffect<Command>, 'type' | 'sequence'>;

/** Returns the content of an empty disk. */
export function createPersistedState<Command>(): PersistedState<Command> {
	return {hardState: {term: 0}, snapshot: undefined, entries: List()};
}

/**
 * Returns the content of a disk after one write. Real stores and the fake ones in tests share this function, so
 * that both recover the same state.
 */
export function applyPersistedWrite<Command>(
	persisted: PersistedState<Command>,
	{hardState, truncateFrom, entries, snapshot, firstIndex}: PersistedWrite<Command>,
): PersistedState<Command> {
	const base = persisted.entries.first()?.index ?? 0;
	const kept = truncateFrom === undefined ? persisted.entries : persisted.entries.take(Math.max(0, truncateFrom - base));
	const added = kept.push(...entries);
	const addedBase = added.first()?.index ?? 0;
	return {
		hardState,
		snapshot: snapshot ?? persisted.snapshot,
		entries: firstIndex === undefined ? added : added.skip(Math.max(0, firstIndex - addedBase)),
	};
}

/** Converts the content of a disk to the form that a replica starts from. */
export function getRecoveredReplica<Command>({hardState, snapshot, entries}: PersistedState<Command>): RecoveredReplica<Command> {
	return {hardState, entries: entries.toArray(), ...(snapshot !== undefined && {snapshot})};
}
