import path from 'node:path';
import {createSuccess, type Result} from '@samphiremill/common';
import type {PersistedState} from '@samphiremill/core';
import {encodeRecord} from './record-codec.js';
import {removeLeftovers} from './remove-leftovers.js';
import {
	createCheckpoint, getSegmentName, getSnapshotName, identityName, type SegmentRecord, type SegmentWrite,
} from './segment.js';
import {tryFileOperation} from './store-errors.js';
import type {StoreError, StoreFile, StoreFileSystem} from './types.js';
import {writeFileAtomically} from './write-file-atomically.js';

/** The newest segment of a folder, completely synced. */
export type NewestSegment = {
	readonly name: string;
	readonly lengthBytes: number;
	/** The snapshot that the segment builds on; 0 if there is none. */
	readonly snapshotIndex: number;
	readonly nextSequence: number;
};

/** Writes the segments and snapshots of one folder. */
export type SegmentWriter<Command> = {
	/** Appends a record to the segment and syncs it. After a failure, the segment must be abandoned. */
	readonly append: (writes: ReadonlyArray<SegmentWrite<Command>>) => Promise<Result<void, StoreError>>;
	/**
	 * Prepares a new segment that holds a whole state.
	 *
	 * @returns A function that writes it. After a failure it can be called again, and continues where it failed.
	 */
	readonly prepareSegment: (persistedState: PersistedState<Command>) => () => Promise<Result<void, StoreError>>;
	/** Cuts off what may not be synced, so that it takes no space and is never recovered. Only a new segment can follow. */
	readonly abandonSegment: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** Creates the writer of a folder, which continues the newest segment. */
export async function createSegmentWriter<Command>({folder, fileSystem, newest}: {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
	readonly newest: NewestSegment;
}): Promise<SegmentWriter<Command>> {
	let segment = newest;
	let openFile: StoreFile | undefined = await fileSystem.openToAppend(path.join(folder, newest.name));
	const getFile = (name: string) => path.join(folder, name);

	// Also an error releases the file descriptor, and nothing that counts is left to be written.
	const closeFile = async () => {
		const closing = openFile;
		openFile = undefined;
		await tryFileOperation({file: getFile(segment.name), operation: 'close'}, async () => closing?.close());
	};

	const useSegment = async (next: NewestSegment, opened: StoreFile) => {
		await closeFile();
		segment = next;
		openFile = opened;
		// Whatever cannot be removed now is removed with the next segment or at the next start.
		await tryFileOperation({file: folder, operation: 'remove'}, async () => removeLeftovers({
			folder, fileSystem, kept: [identityName, next.name, getSnapshotName(next.snapshotIndex)],
		}));
	};

	return {
		async append(writes) {
			const file = getFile(segment.name);
			const record: SegmentRecord<Command> = {type: 'writes', sequence: segment.nextSequence, writes};
			const data = encodeRecord(record);
			const appended = await tryFileOperation({file, operation: 'append'}, async () => openFile?.appendAll(data));
			if (!appended.ok) {
				return appended;
			}

			const synced = await tryFileOperation({file, operation: 'sync'}, async () => openFile?.syncData());
			if (!synced.ok) {
				return synced;
			}

			segment = {...segment, lengthBytes: segment.lengthBytes + data.length, nextSequence: segment.nextSequence + 1};
			return createSuccess(undefined);
		},
		prepareSegment(persistedState) {
			const {snapshot} = persistedState;
			const checkpoint = encodeRecord(createCheckpoint(persistedState, segment.nextSequence));
			const next: NewestSegment = {
				name: getSegmentName(segment.nextSequence),
				lengthBytes: checkpoint.length,
				snapshotIndex: snapshot?.index ?? 0,
				nextSequence: segment.nextSequence + 1,
			};
			const isSnapshotSaved = next.snapshotIndex === segment.snapshotIndex;
			// The segment comes last. Once it exists, everything that it refers to is synced.
			let unwritten = [
				...(snapshot === undefined || isSnapshotSaved ? [] : [{name: getSnapshotName(snapshot.index), data: encodeRecord(snapshot)}]),
				{name: next.name, data: checkpoint},
			];
			return async () => {
				for (let [file] = unwritten; file !== undefined; [file] = unwritten) {
					const {name, data} = file;
					// eslint-disable-next-line no-await-in-loop -- the segment must not exist before its snapshot
					const written = await tryFileOperation({file: getFile(name), operation: 'write'}, async () => writeFileAtomically({
						folder, fileSystem, name, data,
					}));
					if (!written.ok) {
						return written;
					}

					unwritten = unwritten.slice(1);
				}

				const opened = await tryFileOperation({file: getFile(next.name), operation: 'open'}, async () => fileSystem.openToAppend(getFile(next.name)));
				if (!opened.ok) {
					return opened;
				}

				await useSegment(next, opened.value);
				return createSuccess(undefined);
			};
		},
		async abandonSegment() {
			const file = getFile(segment.name);
			await closeFile();
			await tryFileOperation({file, operation: 'truncate'}, async () => fileSystem.truncate(file, segment.lengthBytes));
		},
		close: closeFile,
	};
}
