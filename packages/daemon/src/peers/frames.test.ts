import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {maximumFrameBytes} from './constants.js';
import {createFrameDecoder, encodeFrame} from './frames.js';

test('frames decode to the same values however the bytes are split into chunks', () => {
	fc.assert(fc.property(fc.array(fc.jsonValue(), {maxLength: 5}), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}), (values, sizes) => {
		const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
		const decoder = createFrameDecoder();
		const decoded: unknown[] = [];
		for (let offset = 0, chunkIndex = 0; offset < bytes.length; chunkIndex += 1) {
			const end = offset + (sizes[chunkIndex % sizes.length] ?? 1);
			const result = decoder.decode(bytes.subarray(offset, end), maximumFrameBytes);
			expect(result.ok).toBe(true);
			decoded.push(...(result.ok ? result.value : []));
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
			const result = createFrameDecoder().decode(encodeFrame(message), maximumFrameBytes);
			expect(JSON.stringify(result.ok ? result.value : [])).toBe(JSON.stringify([message]));
		}
	}), {seed: 1});
});
