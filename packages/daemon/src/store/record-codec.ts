import crc32 from 'crc-32';

const headerBytes = 8;
const sectorBytes = 512;

const getChecksum = (payload: Uint8Array) => crc32.buf(payload) >>> 0; // eslint-disable-line no-bitwise -- the library gives a signed integer

/**
 * Encodes a JSON value as a record: length, CRC-32 and JSON text.
 */
export function encodeRecord(value: unknown): Uint8Array {
	const payload = new TextEncoder().encode(JSON.stringify(value));
	const record = new Uint8Array(headerBytes + payload.length);
	const header = new DataView(record.buffer);
	header.setUint32(0, payload.length, true);
	header.setUint32(4, getChecksum(payload), true);
	record.set(payload, headerBytes);
	return record;
}

/** The result of decoding a file at one offset. */
export type DecodedRecord
	= | {readonly type: 'record'; readonly value: unknown; readonly nextOffset: number}
		| {readonly type: 'end'}
	/** An incomplete write that had not been synced. */
		| {readonly type: 'torn'}
		| {readonly type: 'damaged'; readonly reason: string};

// Sectors that had not been written when a crash came read as zeros. JSON text never contains a zero byte.
const hasZeroSector = (payload: Uint8Array, fileOffset: number) => {
	const firstBoundary = sectorBytes - (fileOffset % sectorBytes);
	for (let start = 0, end = firstBoundary; start < payload.length; start = end, end += sectorBytes) {
		if (payload.subarray(start, end).every(byte => byte === 0)) {
			return true;
		}
	}

	return false;
};

// Each record is synced before the next one is written. So a bad record that is followed by others
// had been synced and was damaged later. At the end of the file, missing bytes or sectors of zeros
// show an unfinished write; a complete record whose checksum differs was damaged.
const classifyBadRecord = (bytes: Uint8Array, {offset, length}: {readonly offset: number; readonly length: number}): DecodedRecord => {
	const end = offset + headerBytes + length;
	const payload = bytes.subarray(offset + headerBytes, end);
	if (end < bytes.length) {
		return bytes.subarray(offset).every(byte => byte === 0)
			? {type: 'torn'}
			: {type: 'damaged', reason: 'checksum differs in a record that is followed by others'};
	}

	return hasZeroSector(payload, offset + headerBytes)
		? {type: 'torn'}
		: {type: 'damaged', reason: 'checksum differs in the last record, which is complete'};
};

const readHeader = (bytes: Uint8Array, offset: number) => {
	const header = new DataView(bytes.buffer, bytes.byteOffset + offset, headerBytes);
	return {length: header.getUint32(0, true), checksum: header.getUint32(4, true)};
};

/**
 * Decodes the record at an offset.
 *
 * @param bytes - The content of the whole file.
 */
export function decodeRecord(bytes: Uint8Array, offset: number): DecodedRecord {
	if (offset === bytes.length) {
		return {type: 'end'};
	}

	if (offset + headerBytes > bytes.length) {
		return {type: 'torn'};
	}

	const header = readHeader(bytes, offset);
	const {length} = header;
	const end = offset + headerBytes + length;
	if (end > bytes.length) {
		const hasValidChecksum = getChecksum(bytes.subarray(offset + headerBytes)) === header.checksum;
		return hasValidChecksum || isFollowedByRecord(bytes, offset)
			? {type: 'damaged', reason: 'the stored length of a complete record is wrong'}
			: {type: 'torn'};
	}

	const payload = bytes.subarray(offset + headerBytes, end);
	if (length === 0 || getChecksum(payload) !== header.checksum) {
		return classifyBadRecord(bytes, {offset, length});
	}

	return {type: 'record', value: JSON.parse(new TextDecoder().decode(payload)), nextOffset: end};
}

const openingBrace = 0x7B;

// With a damaged length the start of the next record is unknown, so every later offset is tried.
const isFollowedByRecord = (bytes: Uint8Array, badOffset: number) => {
	for (let offset = badOffset + headerBytes; offset + headerBytes < bytes.length; offset += 1) {
		const {length, checksum} = readHeader(bytes, offset);
		const end = offset + headerBytes + length;
		const isPlausible = end <= bytes.length && bytes[offset + headerBytes] === openingBrace;
		if (isPlausible && getChecksum(bytes.subarray(offset + headerBytes, end)) === checksum) {
			return true;
		}
	}

	return false;
};
