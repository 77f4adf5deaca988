/**
 * Reads the records of a file one after the other, so that a file of any size needs the memory of one record.
 */
import {decodeRecord, readIntactRecord, type DecodedRecord} from './record-codec.js';
import type {StoreFileReader, StoreFileSystem} from './types.js';

/** How much is read at a time, in bytes; more for a record that is larger. */
const windowBytes = 1_048_576;

/** Reads the records of one file. */
export type RecordReader = {
	readonly lengthBytes: number;
	/** Decodes the record at an offset. */
	readonly readRecord: (offset: number) => Promise<DecodedRecord>;
	readonly close: () => Promise<void>;
};

const createWindow = ({read, lengthBytes}: StoreFileReader) => {
	let bytes: Uint8Array = new Uint8Array();
	let start = 0;
	return async (offset: number, wantedBytes: number): Promise<Uint8Array> => {
		const end = Math.min(lengthBytes, offset + wantedBytes);
		if (offset < start || end > start + bytes.length) {
			bytes = await read(offset, Math.max(wantedBytes, windowBytes));
			start = offset;
		}

		return bytes.subarray(offset - start, end - start);
	};
};

/**
 * Opens a file of records.
 *
 * @throws The errors of the file operations.
 */
export async function openRecordReader(fileSystem: StoreFileSystem, file: string): Promise<RecordReader> {
	const reader = await fileSystem.openToRead(file);
	const readWindow = createWindow(reader);
	return {
		lengthBytes: reader.lengthBytes,
		async readRecord(offset) {
			if (offset === reader.lengthBytes) {
				return {type: 'end'};
			}

			const intact = await readIntactRecord(readWindow, offset);
			// What a bad record means depends on all that follows it.
			return intact ?? decodeRecord(await reader.read(0, reader.lengthBytes), offset);
		},
		close: reader.close,
	};
}
