import {Buffer} from 'node:buffer';
import crc32 from 'crc-32';
import {parsePayload} from './payload-parser.js';

const headerBytes = 8;
/** Takes the place of the header until length and checksum are known. Each character is one byte in UTF-8. */
const emptyHeader = '\0'.repeat(headerBytes);
const sectorBytes = 512;

const getChecksum = (payload: Uint8Array) => crc32.buf(payload) >>> 0; // eslint-disable-line no-bitwise -- the library gives a signed integer

/**
 * Encodes a JSON value as a record: length, CRC-32 and JSON text.
 */
export function encodeRecord(value: unknown): Uint8Array {
	// The place of the header is part of the text, so that the payload is not copied.
	const record = Buffer.from(`${emptyHeader}${JSON.stringify(value)}`);
	const payload = record.subarray(headerBytes);
	record.writeUInt32LE(payload.length, 0);
	record.writeUInt32LE(getChecksum(payload), 4);
	return record;
}

/** The result of decoding a file at one offset. */
export type DecodedRecord
	= | {readonly type: 'record'; readonly value: unknown; readonly nextOffset: number}
		| {readonly type: 'end'}
	/** An incomplete write that had not been synced. */
		| {readonly type: 'torn'}
		| {readonly type: 'damaged'; readonly reason: string};

// Whether what is unwritten reaches from the header into the payload: to the end of the sector, or from its start.
const isUnwrittenAcross = (bytes: Uint8Array, offset: number) => {
	const payloadStart = offset + headerBytes;
	const sectorStart = Math.floor(payloadStart / sectorBytes) * sectorBytes;
	const isZero = (start: number, end: number) => bytes.subarray(start, end).every(byte => byte === 0);
	return isZero(payloadStart, sectorStart + sectorBytes) || (sectorStart > offset && isZero(sectorStart, payloadStart + 1));
};

// JSON text has no zero byte. What a power loss left unwritten reads as zeros, and begins or ends with a sector or with the record.
const hasUnwrittenPart = (bytes: Uint8Array, {start, end}: {readonly start: number; readonly end: number}) => {
	for (let boundary = Math.ceil(start / sectorBytes) * sectorBytes; boundary < end; boundary += sectorBytes) {
		if (bytes[boundary] === 0 || (boundary > start && bytes[boundary - 1] === 0)) {
			return true;
		}
	}

	return end > start && bytes[end - 1] === 0;
};

// A part of the header is unwritten if it differs from the header of the data only by zeros.
const hasUnwrittenHeader = (bytes: Uint8Array, {offset, dataEnd}: {readonly offset: number; readonly dataEnd: number}) => {
	const payload = bytes.subarray(offset + headerBytes, dataEnd);
	const header = new DataView(new ArrayBuffer(headerBytes));
	header.setUint32(0, payload.length, true);
	header.setUint32(4, getChecksum(payload), true);
	return bytes.subarray(offset, offset + headerBytes).every((byte, position) => byte === 0 || byte === header.getUint8(position));
};

// Whether a bad record that no other follows may be an unfinished write. If a part of its header is unwritten, the stored length is
// too small. A length that fits the data was written, also if its first byte is zero.
const isTorn = (bytes: Uint8Array, {offset, length}: {readonly offset: number; readonly length: number}) => {
	const start = offset + headerBytes;
	const end = start + length;
	const dataEnd = bytes.findLastIndex(byte => byte !== 0) + 1;
	return (bytes[offset] === 0 && end !== dataEnd)
		|| hasUnwrittenHeader(bytes, {offset, dataEnd})
		|| isUnwrittenAcross(bytes, offset)
		|| hasUnwrittenPart(bytes, {start, end});
};

// Each record is synced before the next one is written. So a bad record that is followed by others had been synced and was damaged
// later. A last record may never have been synced; if no unfinished write explains it, it was damaged, too.
const classifyBadRecord = (bytes: Uint8Array, record: {readonly offset: number; readonly length: number}): DecodedRecord => {
	if (isFollowedByRecord(bytes, record.offset)) {
		return {type: 'damaged', reason: 'checksum differs in a record that is followed by others'};
	}

	return isTorn(bytes, record)
		? {type: 'torn'}
		: {type: 'damaged', reason: 'checksum differs in the last record, and no unfinished write explains it'};
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

	return {type: 'record', value: parsePayload(payload), nextOffset: end};
}

/**
 * Reads the record at an offset if it is whole.
 *
 * @param read - Returns the bytes from an offset on, fewer than asked for only at the end of the file.
 * @returns The record; `undefined` if there is none, or if it is incomplete or damaged.
 */
export async function readIntactRecord(read: (offset: number, lengthBytes: number) => Promise<Uint8Array>, offset: number): Promise<DecodedRecord | undefined> {
	const prefix = await read(offset, headerBytes);
	if (prefix.length < headerBytes) {
		return undefined;
	}

	const {length, checksum} = readHeader(prefix, 0);
	const payload = await read(offset + headerBytes, length);
	return length > 0 && payload.length === length && getChecksum(payload) === checksum
		? {type: 'record', value: parsePayload(payload), nextOffset: offset + headerBytes + length}
		: undefined;
}

const openingBrace = 0x7B;

// With a damaged length the start of the next record is unknown, so every later offset is tried. Zeros are no record, although their
// checksum fits a length of zero.
const isFollowedByRecord = (bytes: Uint8Array, badOffset: number) => {
	for (let offset = badOffset + headerBytes; offset + headerBytes < bytes.length; offset += 1) {
		const {length, checksum} = readHeader(bytes, offset);
		const end = offset + headerBytes + length;
		const isPlausible = length > 0 && end <= bytes.length && bytes[offset + headerBytes] === openingBrace;
		if (isPlausible && getChecksum(bytes.subarray(offset + headerBytes, end)) === checksum) {
			return true;
		}
	}

	return false;
};
