import type {Result} from '@samphiremill/common';
import type {PersistedWrite, RecoveredReplica, StoreId} from '@samphiremill/core';

/** Why a store can't be opened or written. */
export type StoreError
	/** Another running process holds the data folder, or may hold it. */
	= | {readonly type: 'store/locked'; readonly file: string; readonly holder: string}
	/** A record that was synced is unreadable or missing. */
		| {readonly type: 'store/damaged'; readonly file: string; readonly offset: number; readonly reason: string}
	/** The operating system refused an operation, for example because the disk is full. */
		| {readonly type: 'store/io'; readonly file: string; readonly operation: string; readonly code: string};

/** The durable log, snapshots and identity of one node. */
export type ReplicaStore<Command> = {
	/** Names this life of the data folder. */
	readonly storeId: StoreId;
	/** What the folder held when it was opened. */
	readonly recovered: RecoveredReplica<Command>;
	/** Resolves once the write and all before it are synced. After a failure every write fails. */
	readonly write: (write: PersistedWrite<Command>) => Promise<Result<void, StoreError>>;
	/** Waits for the open writes and gives the folder free. */
	readonly close: () => Promise<void>;
};

/** One open file, as far as the store uses it. */
export type StoreFile = {
	readonly appendAll: (data: Uint8Array) => Promise<void>;
	readonly syncData: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** The operations on files that the store needs. Tests pass one that fails. */
export type StoreFileSystem = {
	readonly createFolder: (folder: string) => Promise<void>;
	readonly listFiles: (folder: string) => Promise<readonly string[]>;
	readonly readFile: (file: string) => Promise<Uint8Array>;
	readonly openToAppend: (file: string) => Promise<StoreFile>;
	readonly truncate: (file: string, length: number) => Promise<void>;
	readonly rename: (from: string, to: string) => Promise<void>;
	readonly remove: (file: string) => Promise<void>;
	/** Makes creations, renames and removals in the folder last. */
	readonly syncFolder: (folder: string) => Promise<void>;
};
