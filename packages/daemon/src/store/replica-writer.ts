import path from 'node:path';
import {
	createFailure, createSuccess, type Result,
} from '@samphiremill/common';
import {applyPersistedWrite, type PersistedWrite, type PersistedState} from '@samphiremill/core';
import {encodeRecord} from './record-codec.js';
import {
	createCheckpoint, getSegmentName, getSnapshotName, type SegmentRecord, type SegmentWrite,
} from './segment.js';
import {tryFileOperation} from './store-errors.js';
import type {
	ReplicaStore, StoreError, StoreFile, StoreFileSystem,
} from './types.js';
import {writeFileAtomically} from './write-file-atomically.js';

type WriterOptions<Command> = {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
	readonly segmentName: string;
	readonly persistedState: PersistedState<Command>;
	readonly nextSequence: number;
};

type QueuedWrite<Command> = {
	readonly write: PersistedWrite<Command>;
	readonly settle: (result: Result<void, StoreError>) => void;
};

/**
 * Creates the writer of a store, which appends to the newest segment. Writes that are queued while
 * the disk is busy become one record with one sync.
 */
export async function createReplicaWriter<Command>(options: WriterOptions<Command>): Promise<Pick<ReplicaStore<Command>, 'write' | 'close'>> {
	const {folder, fileSystem} = options;
	let {segmentName, persistedState, nextSequence} = options;
	let segment: StoreFile = await fileSystem.openToAppend(path.join(folder, segmentName));
	let queue: ReadonlyArray<QueuedWrite<Command>> = [];
	let failure: StoreError | undefined;
	let draining: Promise<void> | undefined;

	const appendWrites = async (writes: ReadonlyArray<SegmentWrite<Command>>) => {
		const record: SegmentRecord<Command> = {type: 'writes', sequence: nextSequence, writes};
		await segment.appendAll(encodeRecord(record));
		await segment.syncData();
		nextSequence += 1;
	};

	// The new segment and its folder are completely written and synced before the old segment is removed.
	const startSegment = async () => {
		const oldSegmentName = segmentName;
		const newSegmentName = getSegmentName(nextSequence);
		await writeFileAtomically({
			folder, fileSystem, name: newSegmentName, data: encodeRecord(createCheckpoint(persistedState, nextSequence)),
		});
		nextSequence += 1;
		segmentName = newSegmentName;
		await segment.close();
		segment = await fileSystem.openToAppend(path.join(folder, segmentName));
		await fileSystem.remove(path.join(folder, oldSegmentName));
	};

	const saveSnapshot = async (oldIndex: number | undefined) => {
		const {snapshot} = persistedState;
		if (snapshot === undefined) {
			return;
		}

		await writeFileAtomically({
			folder, fileSystem, name: getSnapshotName(snapshot.index), data: encodeRecord(snapshot),
		});
		await startSegment();
		if (oldIndex !== undefined && oldIndex !== snapshot.index) {
			await fileSystem.remove(path.join(folder, getSnapshotName(oldIndex)));
		}
	};

	const writeBatch = async (batch: ReadonlyArray<QueuedWrite<Command>>) => {
		const oldIndex = persistedState.snapshot?.index;
		for (const {write} of batch) {
			persistedState = applyPersistedWrite(persistedState, write);
		}

		// A new checkpoint also contains the writes of this batch, so they are not appended.
		await (persistedState.snapshot?.index === oldIndex
			? appendWrites(batch.map(({write}) => write))
			: saveSnapshot(oldIndex));
	};

	const settleBatch = async (batch: ReadonlyArray<QueuedWrite<Command>>) => {
		const result = failure === undefined
			? await tryFileOperation({file: path.join(folder, segmentName), operation: 'append'}, async () => writeBatch(batch))
			: createFailure(failure);
		// After a failed sync the content of the disk is unknown, so nothing is retried.
		failure = result.ok ? undefined : result.err;
		for (const {settle} of batch) {
			settle(result.ok ? createSuccess(undefined) : result);
		}
	};

	const drain = async () => {
		while (queue.length > 0) {
			const batch = queue;
			queue = [];
			await settleBatch(batch); // eslint-disable-line no-await-in-loop -- one batch after the other
		}

		draining = undefined;
	};

	return {
		write: async write => new Promise(resolve => {
			queue = [...queue, {write, settle: resolve}];
			draining ??= drain();
		}),
		async close() {
			await draining;
			await tryFileOperation({file: path.join(folder, segmentName), operation: 'close'}, async () => segment.close());
		},
	};
}
