import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {
	createFailure, createSuccess, toBrand, type Result, type TimerService,
} from '@samphiremill/common';
import {
	createPersistedState, getRecoveredReplica, type PersistedState, type StoreId,
} from '@samphiremill/core';
import {lockFolder} from './folder-lock.js';
import {decodeRecord, encodeRecord} from './record-codec.js';
import {removeLeftovers} from './remove-leftovers.js';
import {createReplicaWriter} from './replica-writer.js';
import {
	createCheckpoint, getSegmentName, getSnapshotName, identityName, readSegment, readSnapshot, type SegmentContent,
} from './segment.js';
import {createSegmentWriter, type NewestSegment} from './segment-writer.js';
import {tryFileOperation} from './store-errors.js';
import {storeFileSystem} from './store-file-system.js';
import type {
	ReplicaStore, StoreError, StoreFileSystem, StoreObserver,
} from './types.js';
import {writeFileAtomically} from './write-file-atomically.js';

/** Options for opening a store. */
export type OpenReplicaStoreOptions = StoreObserver & {
	/** The node's data folder. It is created if it does not exist. */
	readonly folder: string;
	readonly fileSystem?: StoreFileSystem;
	/** Times the tries after a failed write. */
	readonly timers: TimerService;
	/** Whether to lock the folder against other processes; `true` by default. The lock needs hard links, which some file systems do not support. */
	readonly shouldLock?: boolean;
};

type StoreFolder = {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
};

type RecoveredContent<Command> = {
	readonly newest: NewestSegment;
	readonly persistedState: PersistedState<Command>;
};

const createDamagedError = (file: string, reason: string) => createFailure<StoreError>({
	type: 'store/damaged', file, offset: 0, reason,
});

const isContentFile = (name: string) => ['segment-', 'snapshot-'].some(prefix => name.startsWith(prefix)) && !name.endsWith('.tmp');

// The first segment is synced before the identity file is created. So an identity without a segment
// means that files were removed, and a folder without an identity never acknowledged a write.
const initialiseFolder = async <Command>(
	{folder, fileSystem}: StoreFolder,
	names: readonly string[],
): Promise<Result<RecoveredContent<Command>, StoreError>> => {
	const unexpectedFile = names.find(name => isContentFile(name) && name !== getSegmentName(1));
	const file = path.join(folder, getSegmentName(1));
	const firstSegment = names.includes(getSegmentName(1)) ? await readSegment(fileSystem, file) : undefined;
	if (unexpectedFile !== undefined || (firstSegment !== undefined && (!firstSegment.ok || firstSegment.value.nextSequence > 2))) {
		return createDamagedError(path.join(folder, identityName), 'the folder contains a log but no identity');
	}

	const persistedState = createPersistedState<Command>();
	const name = getSegmentName(1);
	const data = encodeRecord(createCheckpoint(persistedState, 1));
	await writeFileAtomically({
		folder, fileSystem, name, data,
	});
	await writeFileAtomically({
		folder, fileSystem, name: identityName, data: encodeRecord({storeId: randomUUID(), format: 1}),
	});
	return createSuccess({
		newest: {
			name, lengthBytes: data.length, snapshotIndex: 0, nextSequence: 2,
		},
		persistedState,
	});
};

const readStoreId = async ({folder, fileSystem}: StoreFolder): Promise<Result<StoreId, StoreError>> => {
	const file = path.join(folder, identityName);
	const decoded = decodeRecord(await fileSystem.readFile(file), 0);
	const value: unknown = decoded.type === 'record' ? decoded.value : undefined;
	return typeof value === 'object' && value !== null && 'storeId' in value
		? createSuccess(toBrand<StoreId>(String(value.storeId)))
		: createDamagedError(file, 'the identity is incomplete or damaged');
};

type FoundSegment<Command> = {
	readonly name: string;
	readonly segment: SegmentContent<Command>;
};

const readNewestSegment = async <Command>(
	{folder, fileSystem}: StoreFolder,
	names: readonly string[],
): Promise<Result<FoundSegment<Command>, StoreError>> => {
	const segments = names.filter(name => name.startsWith('segment-') && name.endsWith('.log')).toSorted();
	const name = segments.at(-1);
	if (name === undefined) {
		return createDamagedError(path.join(folder, getSegmentName(1)), 'the folder contains an identity but no segment');
	}

	const file = path.join(folder, name);
	const read = await readSegment<Command>(fileSystem, file);
	if (!read.ok) {
		return read;
	}

	return read.value.hasCheckpoint
		? createSuccess({name, segment: read.value})
		: createDamagedError(file, 'the checkpoint at the start of the segment is incomplete');
};

const loadSnapshot = async <Command>(
	{folder, fileSystem}: StoreFolder,
	{persistedState, snapshotIndex}: SegmentContent<Command>,
): Promise<Result<PersistedState<Command>, StoreError>> => {
	if (snapshotIndex === 0) {
		return createSuccess(persistedState);
	}

	const file = path.join(folder, getSnapshotName(snapshotIndex));
	const bytes = await tryFileOperation({file, operation: 'read'}, async () => fileSystem.readFile(file));
	if (!bytes.ok) {
		return createDamagedError(file, 'the snapshot that the log builds on is missing');
	}

	const read = readSnapshot(file, bytes.value);
	return read.ok ? createSuccess({...persistedState, snapshot: read.value}) : read;
};

const recoverFolder = async <Command>(storeFolder: StoreFolder): Promise<Result<RecoveredContent<Command>, StoreError>> => {
	const {folder, fileSystem} = storeFolder;
	const names = await fileSystem.listFiles(folder);
	if (!names.includes(identityName)) {
		return initialiseFolder<Command>(storeFolder, names);
	}

	const found = await readNewestSegment<Command>(storeFolder, names);
	if (!found.ok) {
		return found;
	}

	const {name, segment} = found.value;
	const persistedState = await loadSnapshot(storeFolder, segment);
	if (!persistedState.ok) {
		return persistedState;
	}

	if (segment.validLengthBytes < segment.lengthBytes) {
		await fileSystem.truncate(path.join(folder, name), segment.validLengthBytes);
	}

	const {snapshotIndex, nextSequence, validLengthBytes} = segment;
	await removeLeftovers({...storeFolder, kept: [identityName, name, getSnapshotName(snapshotIndex)]});
	return createSuccess({
		newest: {
			name, lengthBytes: validLengthBytes, snapshotIndex, nextSequence,
		},
		persistedState: persistedState.value,
	});
};

const createTakeOnce = <Value>(value: Value): () => Value => {
	let kept: Value | undefined = value;
	return () => {
		const taken = kept;
		kept = undefined;
		if (taken === undefined) {
			throw new RangeError('the recovered content was taken before');
		}

		return taken;
	};
};

const openLockedStore = async <Command>(
	storeFolder: StoreFolder,
	{timers, observer}: {readonly timers: TimerService; readonly observer: StoreObserver},
): Promise<Result<ReplicaStore<Command>, StoreError>> => {
	const content = await recoverFolder<Command>(storeFolder);
	if (!content.ok) {
		return content;
	}

	const storeId = await readStoreId(storeFolder);
	if (!storeId.ok) {
		return storeId;
	}

	const {persistedState, newest} = content.value;
	const segments = await createSegmentWriter<Command>({...storeFolder, newest});
	const writer = createReplicaWriter({
		segments, persistedState, timers, observer,
	});
	return createSuccess({
		storeId: storeId.value,
		takeRecovered: createTakeOnce(getRecoveredReplica(persistedState)),
		write: writer.write,
		close: writer.close,
	});
};

/**
 * Opens a node's data folder. A folder that was never used is initialised with a new identity.
 *
 * @returns The store, or why it can't be opened. A damaged folder is not changed.
 */
export async function openReplicaStore<Command>(options: OpenReplicaStoreOptions): Promise<Result<ReplicaStore<Command>, StoreError>> {
	const {folder, fileSystem = storeFileSystem, timers, shouldLock = true} = options;
	const storeFolder = {folder, fileSystem};
	const locked = await tryFileOperation({file: folder, operation: 'lock'}, async () => {
		await fileSystem.createFolder(folder);
		return shouldLock ? lockFolder(folder) : createSuccess(async () => undefined);
	});
	if (!locked.ok) {
		return locked;
	}

	const lockResult = locked.value;
	if (!lockResult.ok) {
		return lockResult;
	}

	const opened = await tryFileOperation({file: folder, operation: 'open'}, async () => openLockedStore<Command>(storeFolder, {timers, observer: options}));
	const result = opened.ok ? opened.value : opened;
	if (!result.ok) {
		await lockResult.value();
		return result;
	}

	const store = result.value;
	return createSuccess({
		...store,
		async close() {
			await store.close();
			await lockResult.value();
		},
	});
}
