import {
	createFailure, createSuccess, type Result,
} from '@samphiremill/common';
import {
	applyPersistedWrite, createPersistedState, type HardState, type LogEntry, type PersistedWrite, type PersistedState, type ReplicaSnapshot,
} from '@samphiremill/core';
import {decodeRecord} from './record-codec.js';
import type {StoreError} from './types.js';

/** A write as it stands in a segment. A snapshot lies in its own file. */
export type SegmentWrite<Command> = Omit<PersistedWrite<Command>, 'snapshot'>;

/** One record of a segment. Sequence numbers run on without gaps through all segments. */
export type SegmentRecord<Command>
	/** All that was known when the segment began, so that nothing before it is needed. */
	= | {
		readonly type: 'checkpoint';
		readonly sequence: number;
		readonly hardState: HardState;
		readonly snapshotIndex: number;
		readonly entries: ReadonlyArray<LogEntry<Command>>;
	}
	| {readonly type: 'writes'; readonly sequence: number; readonly writes: ReadonlyArray<SegmentWrite<Command>>};

/** What a segment holds. */
export type SegmentContent<Command> = {
	readonly persistedState: PersistedState<Command>;
	readonly snapshotIndex: number;
	readonly nextSequence: number;
	/** Where a torn tail starts; the file's length without one. */
	readonly validLengthBytes: number;
	readonly hasCheckpoint: boolean;
};

const applyRecord = <Command>(segment: SegmentContent<Command>, record: SegmentRecord<Command>): SegmentContent<Command> => {
	const next = {...segment, nextSequence: record.sequence + 1};
	if (record.type === 'checkpoint') {
		const replay = applyPersistedWrite(createPersistedState<Command>(), record);
		return {
			...next, persistedState: replay, snapshotIndex: record.snapshotIndex, hasCheckpoint: true,
		};
	}

	let {persistedState: replay} = segment;
	for (const write of record.writes) {
		replay = applyPersistedWrite(replay, write);
	}

	return {...next, persistedState: replay};
};

/**
 * Reads a segment from its checkpoint on.
 *
 * @param file - Its name, for errors.
 * @param bytes - Its content.
 * @returns What it holds up to a torn tail, or `store/damaged` with the offset.
 */
export function readSegment<Command>(file: string, bytes: Uint8Array): Result<SegmentContent<Command>, StoreError> {
	let segment: SegmentContent<Command> = {
		persistedState: createPersistedState(), snapshotIndex: 0, nextSequence: 0, validLengthBytes: 0, hasCheckpoint: false,
	};
	for (;;) {
		const offset = segment.validLengthBytes;
		const decoded = decodeRecord(bytes, offset);
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
}

/**
 * @param replay - What the store holds.
 * @param sequence - The record's sequence number.
 * @returns The record that opens a segment.
 */
export function createCheckpoint<Command>(replay: PersistedState<Command>, sequence: number): SegmentRecord<Command> {
	return {
		type: 'checkpoint',
		sequence,
		hardState: replay.hardState,
		snapshotIndex: replay.snapshot?.index ?? 0,
		entries: replay.entries.toArray(),
	};
}

/**
 * @param sequence - The sequence number of the segment's checkpoint.
 * @returns The segment's file name, which sorts by sequence.
 */
export function getSegmentName(sequence: number): string {
	return `segment-${String(sequence).padStart(12, '0')}.log`;
}

/**
 * @param index - The index of a snapshot.
 * @returns The snapshot's file name.
 */
export function getSnapshotName(index: number): string {
	return `snapshot-${String(index).padStart(12, '0')}.json`;
}

/**
 * @param file - The snapshot's file name, for errors.
 * @param bytes - Its content.
 * @returns The snapshot, or `store/damaged`.
 */
export function readSnapshot(file: string, bytes: Uint8Array): Result<ReplicaSnapshot, StoreError> {
	const decoded = decodeRecord(bytes, 0);
	return decoded.type === 'record'
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the checksum shows that this store wrote it
		? createSuccess(decoded.value as ReplicaSnapshot)
		: createFailure({
			type: 'store/damaged', file, offset: 0, reason: 'the snapshot is not whole',
		});
}
