import type {MonotonicMs, Result} from '@samphiremill/common';
import type {PersistedWrite, RecoveredReplica, StoreId} from '@samphiremill/core';

/** Why a store can't be opened or written to. */
export type StoreError
	/** Another process holds the lock of the data folder, or may hold it. */
	= | {readonly type: 'store/locked'; readonly file: string; readonly holder: string}
	/** A record that had been synced is unreadable or missing. */
		| {readonly type: 'store/damaged'; readonly file: string; readonly offset: number; readonly reason: string}
	/** A file operation failed, for example because the disk is full. */
		| {readonly type: 'store/io'; readonly file: string; readonly operation: string; readonly code: string}
	/** The store was closed before the write was made. */
		| {readonly type: 'store/closed'};

/** The begin of a time in which the disk accepts no writes. */
export type WritesFailing = {
	/** The error of the first write that failed. */
	readonly err: StoreError;
	readonly sinceMs: MonotonicMs;
};

/** The end of a time in which the disk accepted no writes. */
export type WritesRecovered = {
	readonly sinceMs: MonotonicMs;
	readonly durationMs: number;
	/** How often the failed write was tried again. */
	readonly tries: number;
};

/** What a store reports about its disk. The callbacks run synchronously and must not throw. */
export type StoreObserver = {
	/** Called once when writes begin to fail, not again for each try. */
	readonly onWritesFailing?: (failing: WritesFailing) => void;
	/** Called once when everything written so far is synced after all. */
	readonly onWritesRecovered?: (recovered: WritesRecovered) => void;
};

/** The durable log, snapshots and identity of one node. */
export type ReplicaStore<Command> = {
	/** Identifies the data folder. An emptied folder gets a new id. */
	readonly storeId: StoreId;
	/**
	 * Returns the content of the folder when it was opened. To be called once: the store does not keep it, so that its memory is free
	 * when the replica needs it no longer.
	 *
	 * @throws RangeError at the second call.
	 */
	readonly takeRecovered: () => RecoveredReplica<Command>;
	/**
	 * Resolves once this write and all earlier ones are synced. A write that fails is tried again until the disk accepts it;
	 * only closing the store ends it with an error. Writes that are synced together share one promise.
	 */
	readonly write: (write: PersistedWrite<Command>) => Promise<Result<void, StoreError>>;
	/** Waits for pending writes, unless the disk refuses them, and releases the lock of the folder. */
	readonly close: () => Promise<void>;
};

/** An open file, with the operations that the store needs. */
export type StoreFile = {
	readonly appendAll: (data: Uint8Array) => Promise<void>;
	readonly syncData: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** A file that is read in parts. */
export type StoreFileReader = {
	readonly lengthBytes: number;
	/** Reads bytes from an offset on; fewer than asked for only at the end of the file. */
	readonly read: (offset: number, lengthBytes: number) => Promise<Uint8Array>;
	readonly close: () => Promise<void>;
};

/** The file operations that the store needs. Tests pass an implementation that fails on purpose. */
export type StoreFileSystem = {
	readonly createFolder: (folder: string) => Promise<void>;
	readonly listFiles: (folder: string) => Promise<readonly string[]>;
	readonly readFile: (file: string) => Promise<Uint8Array>;
	readonly openToRead: (file: string) => Promise<StoreFileReader>;
	readonly openToAppend: (file: string) => Promise<StoreFile>;
	readonly truncate: (file: string, length: number) => Promise<void>;
	readonly rename: (from: string, to: string) => Promise<void>;
	readonly remove: (file: string) => Promise<void>;
	/** Makes creations, renames and removals in the folder durable. */
	readonly syncFolder: (folder: string) => Promise<void>;
};
