import {List} from 'immutable';
import type {
	HardState, LogEntry, PersistEffect, RecoveredReplica, ReplicaSnapshot,
} from './types.js';

/** What a disk holds after a number of writes. */
export type PersistedState<Command> = {
	readonly hardState: HardState;
	readonly snapshot: ReplicaSnapshot | undefined;
	readonly entries: List<LogEntry<Command>>;
};

/** The content of one write, as a store keeps it. */
export type PersistedWrite<Command> = Omit<PersistEffect<Command>, 'type' | 'sequence'>;

/** @returns What a blank disk holds. */
export function createPersistedState<Command>(): PersistedState<Command> {
	return {hardState: {term: 0}, snapshot: undefined, entries: List()};
}

/**
 * Applies one write. Stores and fakes share this, so that both recover the same.
 *
 * @param persisted - What the disk holds.
 * @param write - The write.
 * @returns What the disk holds after it.
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

/**
 * @param replay - What the disk holds.
 * @returns The form that a replica starts from.
 */
export function getRecoveredReplica<Command>({hardState, snapshot, entries}: PersistedState<Command>): RecoveredReplica<Command> {
	return {hardState, entries: entries.toArray(), ...(snapshot !== undefined && {snapshot})};
}
