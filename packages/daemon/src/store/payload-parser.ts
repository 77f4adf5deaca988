/**
 * Parses the JSON text of records. A checkpoint of an earlier version may hold a log of a hundred megabytes; its entries are parsed one by
 * one, so that the text of all of them never stands beside their values.
 */
import {Buffer} from 'node:buffer';

/** Larger payloads are parsed in parts, if they can be. */
const largePayloadBytes = 8_388_608;

const checkpointStart = '{"type":"checkpoint"';
const entriesStart = '"entries":[';

const quote = 0x22;
const backslash = 0x5C;
const openingBracket = 0x5B;
const closingBracket = 0x5D;
const openingBrace = 0x7B;
const closingBrace = 0x7D;
const comma = 0x2C;

const parse = (bytes: Uint8Array): unknown => JSON.parse(new TextDecoder().decode(bytes));

// Returns the offset behind the string that begins at an offset.
const skipString = (bytes: Uint8Array, start: number): number => {
	for (let offset = start + 1; ; offset += 1) {
		const end = bytes.indexOf(quote, offset);
		if (end === -1) {
			throw new SyntaxError('a string of a checkpoint has no end');
		}

		let backslashes = 0;
		while (bytes[end - 1 - backslashes] === backslash) {
			backslashes += 1;
		}

		if (backslashes % 2 === 0) {
			return end + 1;
		}

		offset = end;
	}
};

// Returns the offset of the comma or bracket behind the array element that begins at an offset.
const findElementEnd = (bytes: Uint8Array, start: number): number => {
	let depth = 0;
	let offset = start;
	while (offset < bytes.length) {
		const byte = bytes[offset];
		if (byte === quote) {
			offset = skipString(bytes, offset);
			continue;
		}

		if (depth === 0 && (byte === comma || byte === closingBracket)) {
			return offset;
		}

		depth += byte === openingBrace || byte === openingBracket ? 1 : 0;
		depth -= byte === closingBrace || byte === closingBracket ? 1 : 0;
		offset += 1;
	}

	throw new SyntaxError('the entries of a checkpoint have no end');
};

// The entries are the last member of a checkpoint.
const parseCheckpoint = (bytes: Uint8Array, start: number): unknown => {
	const entries: unknown[] = [];
	let offset = start + entriesStart.length;
	let isComplete = bytes[offset] === closingBracket;
	while (!isComplete) {
		const end = findElementEnd(bytes, offset);
		entries.push(parse(bytes.subarray(offset, end)));
		isComplete = bytes[end] === closingBracket;
		offset = isComplete ? end : end + 1;
	}

	const rest = Buffer.concat([bytes.subarray(0, start), Buffer.from(entriesStart), bytes.subarray(offset)]);
	return {...parse(rest) as Record<string, unknown>, entries}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- it begins as an object
};

/**
 * Parses the JSON text of a record.
 *
 * @param payload - The text as UTF-8.
 * @param largeBytes - From this size on, the entries of a checkpoint are parsed one by one.
 * @throws SyntaxError if the text is not JSON.
 */
export function parsePayload(payload: Uint8Array, largeBytes = largePayloadBytes): unknown {
	const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.length);
	const isCheckpoint = bytes.length >= largeBytes && bytes.subarray(0, checkpointStart.length).equals(Buffer.from(checkpointStart));
	const start = isCheckpoint ? bytes.indexOf(entriesStart) : -1;
	return start === -1 ? parse(bytes) : parseCheckpoint(bytes, start);
}
