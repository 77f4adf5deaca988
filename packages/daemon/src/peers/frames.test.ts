import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createFrameDecoder, encodeFrame} from './frames.js';
import {readFrames} from './test-frames.js';

test('frames decode to the same values however the bytes are split into chunks', () => {
	fc.assert(fc.property(fc.array(fc.jsonValue(), {maxLength: 5}), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}), (values, sizes) => {
		const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
		const decoder = createFrameDecoder();
		const decoded: unknown[] = [];
		for (let offset = 0, chunkIndex = 0; offset < bytes.length; chunkIndex += 1) {
			const end = offset + (sizes[chunkIndex % sizes.length] ?? 1);
			decoded.push(...readFrames(bytes.subarray(offset, end), decoder));
			offset = end;
		}

		expect(JSON.stringify(decoded)).toBe(JSON.stringify(values));
	}), {seed: 1});
});

test('log entries whose encoding is cached decode like any other value', () => {
	const entry = fc.record({index: fc.nat(), payload: fc.jsonValue()});
	const shared = fc.array(entry, {maxLength: 4});
	fc.assert(fc.property(shared, fc.array(fc.nat(), {minLength: 1, maxLength: 3}), (entries, rounds) => {
		for (const round of rounds) {
			const message = {jsonrpc: '2.0', method: 'message', params: {type: 'replica/append', round, entries}};
			expect(JSON.stringify(readFrames(encodeFrame(message)))).toBe(JSON.stringify([message]));
		}
	}), {seed: 1});
});

test('a frame is held to the limit that is in force when it is read, not to that of the frames before it', () => {
	const decoder = createFrameDecoder();
	decoder.addChunk(Buffer.concat([encodeFrame('short'), encodeFrame('x'.repeat(100)), encodeFrame('y'.repeat(100))]));
	expect([10, 200, 50].map(maximumBytes => decoder.readFrame(maximumBytes))).toMatchObject([
		{ok: true, value: {value: 'short'}},
		{ok: true, value: {value: 'x'.repeat(100)}},
		{ok: false, err: {type: 'frame/tooLarge', lengthBytes: 102, maximumBytes: 50}},
	]);
});
