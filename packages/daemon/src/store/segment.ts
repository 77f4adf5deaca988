import {
	createFailure, createSuccess, type Result,
} from '@samphiremill/common';
import {
	applyPersistedWrite, createPersistedState, type HardState, type LogEntry, type PersistedWrite, type PersistedState, type ReplicaSnapshot,
} from '@samphiremill/core';
import {decodeRecord} from './record-codec.js';
import {openRecordReader, type RecordReader} from './record-reader.js';
import type {StoreError, StoreFileSystem} from './types.js';

/** The name of the file that holds the store id. */
export const identityName = 'identity.json';

/** A write as it is stored in a segment. Snapshots are stored in files of their own. */
export type SegmentWrite<Command> = Omit<PersistedWrite<Command>, 'snapshot'>;

/** One record of a segment. Sequence numbers increase without gaps, also from one segment to the next. */
export type SegmentRecord<Command>
	/** The whole state at the start of the segment, so that no earlier segment is needed. */
	= | {
		readonly type: 'checkpoint';
		readonly sequence: number;
		readonly hardState: HardState;
		readonly snapshotIndex: number;
		readonly entries: ReadonlyArray<LogEntry<Command>>;
	}
	| {readonly type: 'writes'; readonly sequence: number; readonly writes: ReadonlyArray<SegmentWrite<Command>>};

/** The content of a segment. */
export type SegmentContent<Command> = {
	readonly persistedState: PersistedState<Command>;
	readonly snapshotIndex: number;
	readonly nextSequence: number;
	/** The length of the file. */
	readonly lengthBytes: number;
	/** The offset at which a torn tail starts; the length of the file if there is none. */
	readonly validLengthBytes: number;
	readonly hasCheckpoint: boolean;
};

const applyRecord = <Command>(segment: SegmentContent<Command>, record: SegmentRecord<Command>): SegmentContent<Command> => {
	const next = {...segment, nextSequence: record.sequence + 1};
	if (record.type === 'checkpoint') {
		const persistedState = applyPersistedWrite(createPersistedState<Command>(), record);
		return {
			...next, persistedState, snapshotIndex: record.snapshotIndex, hasCheckpoint: true,
		};
	}

	let {persistedState} = segment;
	for (const write of record.writes) {
		persistedState = applyPersistedWrite(persistedState, write);
	}

	return {...next, persistedState};
};

const readRecords = async <Command>(file: string, reader: RecordReader): Promise<Result<SegmentContent<Command>, StoreError>> => {
	let segment: SegmentContent<Command> = {
		persistedState: createPersistedState(), snapshotIndex: 0, nextSequence: 0, lengthBytes: reader.lengthBytes, validLengthBytes: 0, hasCheckpoint: false,
	};
	for (;;) {
		const offset = segment.validLengthBytes;
		const decoded = await reader.readRecord(offset); // eslint-disable-line no-await-in-loop -- each record tells where the next one begins
		if (decoded.type === 'end' || decoded.type === 'torn') {
			return createSuccess(segment);
		}

		if (decoded.type === 'damaged') {
			return createFailure({
				type: 'store/damaged', file, offset, reason: decoded.reason,
			});
		}

		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the checksum shows that this store wrote it
		const record = decoded.value as SegmentRecord<Command>;
		const isExpected = segment.hasCheckpoint ? record.sequence === segment.nextSequence : record.type === 'checkpoint';
		if (!isExpected) {
			return createFailure({
				type: 'store/damaged', file, offset, reason: `record ${record.sequence} where ${segment.nextSequence} was expected`,
			});
		}

		segment = {...applyRecord(segment, record), validLengthBytes: decoded.nextOffset};
	}
};

/**
 * Reads a segment.
 *
 * @returns The content up to a torn tail, or `store/damaged` with the offset of the damage.
 * @throws The errors of the file operations.
 */
export async function readSegment<Command>(fileSystem: StoreFileSystem, file: string): Promise<Result<SegmentContent<Command>, StoreError>> {
	const reader = await openRecordReader(fileSystem, file);
	try {
		return await readRecords<Command>(file, reader);
	} finally {
		await reader.close();
	}
}

/**
 * Creates the checkpoint, which is the first record of a segment.
 */
export function createCheckpoint<Command>(persistedState: PersistedState<Command>, sequence: number): SegmentRecord<Command> {
	return {
		type: 'checkpoint',
		sequence,
		hardState: persistedState.hardState,
		snapshotIndex: persistedState.snapshot?.index ?? 0,
		entries: persistedState.entries.toArray(),
	};
}

/**
 * Returns the file name of a segment. Names sort by sequence number.
 *
 * @param sequence - The sequence number of the segment's checkpoint.
 */
export function getSegmentName(sequence: number): string {
	return `segment-${String(sequence).padStart(12, '0')}.log`;
}

/**
 * Returns the file name of the snapshot at a log index.
 */
export function getSnapshotName(index: number): string {
	return `snapshot-${String(index).padStart(12, '0')}.json`;
}

/**
 * Reads a snapshot.
 *
 * @param file - The file name, for errors.
 */
export function readSnapshot(file: string, bytes: Uint8Array): Result<ReplicaSnapshot, StoreError> {
	const decoded = decodeRecord(bytes, 0);
	return decoded.type === 'record'
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the checksum shows that this store wrote it
		? createSuccess(decoded.value as ReplicaSnapshot)
		: createFailure({
			type: 'store/damaged', file, offset: 0, reason: 'the snapshot is incomplete or damaged',
		});
}
