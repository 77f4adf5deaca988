/**
 * Frames of a peer link: the body's length as a 32-bit big-endian integer, then the body as UTF-8 JSON.
 */
import {Buffer} from 'node:buffer';
import {createFailure, createSuccess, type Result} from '@samphiremill/common';
import {framePrefixBytes, maximumEncodedEntryLength} from './constants.js';
import {createTextCache, type JsonObject} from './text-cache.js';

/** Takes the place of the length prefix until the length of the body is known. Each character is one byte in UTF-8. */
const emptyPrefix = '\0'.repeat(framePrefixBytes);

/** Why received bytes are not valid frames. */
export type FrameError
	= | {readonly type: 'frame/tooLarge'; readonly lengthBytes: number; readonly maximumBytes: number}
		| {readonly type: 'frame/notJson'};

/** A complete frame. */
export type DecodedFrame = {readonly value: unknown};

/** Decodes a stream of bytes into frames. */
export type FrameDecoder = {
	readonly addChunk: (chunk: Uint8Array) => void;
	/**
	 * Reads the next frame. The limit may differ from frame to frame, since a chunk may end one phase of a connection and
	 * begin the next.
	 *
	 * @param maximumBytes - The largest body that this frame may have.
	 * @returns The frame, `undefined` while bytes of it are missing, or the error for which the connection must be closed.
	 */
	readonly readFrame: (maximumBytes: number) => Result<DecodedFrame | undefined, FrameError>;
};

// The envelope and the parameters each have another member besides the entries, so that `encodeJson` can put a comma after it.
type MessageWithEntries = {
	readonly method: string;
	readonly params: {readonly type: string; readonly entries: readonly JsonObject[]};
};

const isMessageWithEntries = (value: unknown): value is MessageWithEntries => typeof value === 'object' && value !== null
	&& 'params' in value && typeof value.params === 'object' && value.params !== null
	&& 'method' in value && 'type' in value.params
	&& 'entries' in value.params && Array.isArray(value.params.entries);

// A log entry is immutable and is sent to several peers within a short time, so it is encoded only once.
const encodedEntries = createTextCache(JSON.stringify, maximumEncodedEntryLength);

/**
 * Returns the size of a log entry in a frame, in bytes.
 */
export function getEncodedBytes(entry: JsonObject): number {
	return Buffer.byteLength(encodedEntries.encode(entry));
}

const encodeWithoutClosingBrace = (value: JsonObject) => JSON.stringify(value).slice(0, -1);

// JSON has no text for `undefined` or a function.
const encodeJson = (value: unknown): string | undefined => {
	if (!isMessageWithEntries(value)) {
		return JSON.stringify(value);
	}

	const {params: {entries, ...fields}, ...envelope} = value;
	const encoded = entries.map(entry => encodedEntries.encode(entry)).join(',');
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

	const mergeChunks = (): Uint8Array => {
		const [first] = chunks;
		const merged = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
		chunks = [merged];
		return merged;
	};

	const skip = (buffered: Uint8Array, bytes: number) => {
		chunks = bytes === buffered.length ? [] : [buffered.subarray(bytes)];
		bufferedBytes = buffered.length - bytes;
		neededBytes = framePrefixBytes;
	};

	return {
		addChunk(chunk) {
			chunks = [...chunks, chunk];
			bufferedBytes += chunk.length;
		},
		readFrame(maximumBytes) {
			if (bufferedBytes < neededBytes) {
				return createSuccess(undefined);
			}

			const buffered = mergeChunks();
			const lengthBytes = new DataView(buffered.buffer, buffered.byteOffset).getUint32(0);
			if (lengthBytes > maximumBytes) {
				return createFailure({type: 'frame/tooLarge', lengthBytes, maximumBytes});
			}

			const endBytes = framePrefixBytes + lengthBytes;
			if (endBytes > buffered.length) {
				neededBytes = endBytes;
				return createSuccess(undefined);
			}

			const body = Buffer.from(buffered.buffer, buffered.byteOffset + framePrefixBytes, lengthBytes);
			const parsed = parseJson(body.toString('utf8'));
			skip(buffered, endBytes);
			return parsed.ok ? createSuccess({value: parsed.value}) : parsed;
		},
	};
}
