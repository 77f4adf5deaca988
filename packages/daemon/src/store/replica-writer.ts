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
import {writeFileAtomically} from './write-whole-file.js';

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
 * Appends to the newest segment. Whatever is queued while the disk is busy becomes one record and is
 * synced together.
 *
 * @param options - The folder and what it holds.
 * @returns The writing half of a store.
 */
export async function createReplicaWriter<Command>(options: WriterOptions<Command>): Promise<Pick<ReplicaStore<Command>, 'write' | 'close'>> {
	const {folder, fileSystem} = options;
	let {segmentName, persistedState: replay, nextSequence} = options;
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

	// The new segment is whole and synced, with its folder, before anything older is removed.
	const startSegment = async () => {
		const oldSegmentName = segmentName;
		const newSegmentName = getSegmentName(nextSequence);
		await writeFileAtomically({
			folder, fileSystem, name: newSegmentName, data: encodeRecord(createCheckpoint(replay, nextSequence)),
		});
		nextSequence += 1;
		segmentName = newSegmentName;
		await segment.close();
		segment = await fileSystem.openToAppend(path.join(folder, segmentName));
		await fileSystem.remove(path.join(folder, oldSegmentName));
	};

	const saveSnapshot = async (oldIndex: number | undefined) => {
		const {snapshot} = replay;
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
		const oldIndex = replay.snapshot?.index;
		for (const {write} of batch) {
			replay = applyPersistedWrite(replay, write);
		}

		// A checkpoint holds the writes of its batch too.
		await (replay.snapshot?.index === oldIndex
			? appendWrites(batch.map(({write}) => write))
			: saveSnapshot(oldIndex));
	};

	const settleBatch = async (batch: ReadonlyArray<QueuedWrite<Command>>) => {
		const result = failure === undefined
			? await tryFileOperation({file: path.join(folder, segmentName), operation: 'append'}, async () => writeBatch(batch))
			: createFailure(failure);
		// After a failed sync nobody knows what the disk holds, so nothing is tried again.
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
