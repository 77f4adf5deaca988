import type {Result} from '@samphiremill/common';
import type {PersistedWrite, RecoveredReplica, StoreId} from '@samphiremill/core';

/** Why a store can't be opened or written to. */
export type StoreError
	/** Another process holds the lock of the data folder, or may hold it. */
	= | {readonly type: 'store/locked'; readonly file: string; readonly holder: string}
	/** A record that had been synced is unreadable or missing. */
		| {readonly type: 'store/damaged'; readonly file: string; readonly offset: number; readonly reason: string}
	/** A file operation failed, for example because the disk is full. */
		| {readonly type: 'store/io'; readonly file: string; readonly operation: string; readonly code: string};

/** The durable log, snapshots and identity of one node. */
export type ReplicaStore<Command> = {
	/** Identifies the data folder. An emptied folder gets a new id. */
	readonly storeId: StoreId;
	/** The content of the folder when it was opened. */
	readonly recovered: RecoveredReplica<Command>;
	/** Resolves once this write and all earlier ones are synced. After one write has failed, every later one fails too. */
	readonly write: (write: PersistedWrite<Command>) => Promise<Result<void, StoreError>>;
	/** Waits for pending writes and releases the lock of the folder. */
	readonly close: () => Promise<void>;
};

/** An open file, with the operations that the store needs. */
export type StoreFile = {
	readonly appendAll: (data: Uint8Array) => Promise<void>;
	readonly syncData: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** The file operations that the store needs. Tests pass an implementation that fails on purpose. */
export type StoreFileSystem = {
	readonly createFolder: (folder: string) => Promise<void>;
	readonly listFiles: (folder: string) => Promise<readonly string[]>;
	readonly readFile: (file: string) => Promise<Uint8Array>;
	readonly openToAppend: (file: string) => Promise<StoreFile>;
	readonly truncate: (file: string, length: number) => Promise<void>;
	readonly rename: (from: string, to: string) => Promise<void>;
	readonly remove: (file: string) => Promise<void>;
	/** Makes creations, renames and removals in the folder durable. */
	readonly syncFolder: (folder: string) => Promise<void>;
};
