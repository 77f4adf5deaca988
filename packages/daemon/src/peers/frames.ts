/**
 * Frames of a peer link: the body's length as a 32-bit big-endian integer, then the body as UTF-8 JSON.
 */
import {Buffer} from 'node:buffer';
import {createFailure, createSuccess, type Result} from '@samphiremill/common';
import {framePrefixBytes} from './constants.js';

/** Takes the place of the length prefix until the length of the body is known. Each character is one byte in UTF-8. */
const emptyPrefix = '\0'.repeat(framePrefixBytes);

/** Why received bytes are not valid frames. */
export type FrameError
	= | {readonly type: 'frame/tooLarge'; readonly lengthBytes: number; readonly maximumBytes: number}
		| {readonly type: 'frame/notJson'};

/** Decodes a stream of bytes into frames. */
export type FrameDecoder = {
	/** @returns The frames completed by these bytes, or the error for which the connection must be closed. */
	readonly decode: (chunk: Uint8Array, maximumBytes: number) => Result<readonly unknown[], FrameError>;
};

type JsonObject = Readonly<Record<string, unknown>>;

// The envelope and the parameters each have another member besides the entries, so that `encodeJson` can put a comma after it.
type MessageWithEntries = {
	readonly method: string;
	readonly params: {readonly type: string; readonly entries: readonly JsonObject[]};
};

const isMessageWithEntries = (value: unknown): value is MessageWithEntries => typeof value === 'object' && value !== null
	&& 'params' in value && typeof value.params === 'object' && value.params !== null
	&& 'method' in value && 'type' in value.params
	&& 'entries' in value.params && Array.isArray(value.params.entries);

// A log entry is immutable and is sent to several peers, so it is encoded only once.
const encodedEntries = new WeakMap<JsonObject, string>();

const encodeEntry = (entry: JsonObject): string => {
	const encoded = encodedEntries.get(entry) ?? JSON.stringify(entry);
	encodedEntries.set(entry, encoded);
	return encoded;
};

/**
 * Returns the length of a log entry in a frame, in characters.
 */
export function getEncodedLength(entry: JsonObject): number {
	return encodeEntry(entry).length;
}

const encodeWithoutClosingBrace = (value: JsonObject) => JSON.stringify(value).slice(0, -1);

// JSON has no text for `undefined` or a function.
const encodeJson = (value: unknown): string | undefined => {
	if (!isMessageWithEntries(value)) {
		return JSON.stringify(value);
	}

	const {params: {entries, ...fields}, ...envelope} = value;
	const encoded = entries.map(entry => encodeEntry(entry)).join(',');
	return `${encodeWithoutClosingBrace(envelope)},"params":${encodeWithoutClosingBrace(fields)},"entries":[${encoded}]}}`;
};

/**
 * Encodes a JSON value as a frame with its length prefix.
 *
 * @throws TypeError if the value is not a JSON value.
 */
export function encodeFrame(value: unknown): Uint8Array {
	const json = encodeJson(value);
	if (json === undefined) {
		throw new TypeError('the value has no JSON text');
	}

	const frame = Buffer.from(`${emptyPrefix}${json}`);
	frame.writeUInt32BE(frame.length - framePrefixBytes);
	return frame;
}

function parseJson(body: string): Result<unknown, FrameError> {
	try {
		return createSuccess<unknown>(JSON.parse(body));
	} catch {
		return createFailure({type: 'frame/notJson'});
	}
}

/**
 * Creates the decoder of one connection. It buffers at most the bytes of one frame and one chunk.
 */
export function createFrameDecoder(): FrameDecoder {
	let chunks: readonly Uint8Array[] = [];
	let bufferedBytes = 0;
	let neededBytes = framePrefixBytes;

	const decode: FrameDecoder['decode'] = (chunk, maximumBytes) => {
		chunks = [...chunks, chunk];
		bufferedBytes += chunk.length;
		if (bufferedBytes < neededBytes) {
			return createSuccess([]);
		}

		const buffered = chunks.length === 1 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat(chunks);
		const frames: unknown[] = [];
		let offset = 0;
		neededBytes = framePrefixBytes;
		while (buffered.length - offset >= framePrefixBytes) {
			const lengthBytes = buffered.readUInt32BE(offset);
			if (lengthBytes > maximumBytes) {
				return createFailure({type: 'frame/tooLarge', lengthBytes, maximumBytes});
			}

			const end = offset + framePrefixBytes + lengthBytes;
			if (end > buffered.length) {
				neededBytes = framePrefixBytes + lengthBytes;
				break;
			}

			const parsed = parseJson(buffered.toString('utf8', offset + framePrefixBytes, end));
			if (!parsed.ok) {
				return parsed;
			}

			frames.push(parsed.value);
			offset = end;
		}

		chunks = offset === buffered.length ? [] : [buffered.subarray(offset)];
		bufferedBytes = buffered.length - offset;
		return createSuccess(frames);
	};

	return {decode};
}
