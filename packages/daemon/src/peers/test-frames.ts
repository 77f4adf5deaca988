/**
 * Reads what connections have written, for tests.
 */
import {maximumFrameBytes} from './constants.js';
import {createFrameDecoder, type FrameDecoder} from './frames.js';

/**
 * Returns the values of all frames that are complete with this chunk.
 *
 * @param decoder - Keeps the bytes of a frame that is not complete; a new one by default.
 * @throws If a frame cannot be read.
 */
export function readFrames(chunk: Uint8Array, decoder: FrameDecoder = createFrameDecoder()): readonly unknown[] {
	decoder.addChunk(chunk);
	const values: unknown[] = [];
	for (;;) {
		const frame = decoder.readFrame(maximumFrameBytes);
		if (!frame.ok) {
			throw new Error(frame.err.type);
		}

		if (frame.value === undefined) {
			return values;
		}

		values.push(frame.value.value);
	}
}
