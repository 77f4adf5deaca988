import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {parsePayload} from './payload-parser.js';

const member = fc.oneof(fc.string(), fc.string({unit: 'binary'}), fc.constant('"entries":['), fc.constant(String.raw`\"],{"`));

// Review of issue 44, case 2: a host that had written more than it could read ended again at each start.
test('a checkpoint whose entries are parsed one by one has the same value as if it were parsed at once', () => {
	const entry = fc.oneof(fc.jsonValue(), fc.record({index: fc.nat(), text: member, list: fc.array(member)}));
	fc.assert(fc.property(fc.array(entry), fc.nat(), (entries, sequence) => {
		const text = JSON.stringify({
			type: 'checkpoint', sequence, hardState: {term: 1}, snapshotIndex: 0, entries,
		});
		expect(JSON.stringify(parsePayload(Buffer.from(text), 0))).toBe(text);
	}), {seed: 1, numRuns: 1000});
});

test.each(['{"type":"checkpoint","entries":[1,2', '{"type":"checkpoint","entries":["a]}', '{"type":"checkpoint","entries":[1,]}'])('a text that is cut off is refused: %s', text => {
	expect(() => parsePayload(Buffer.from(text), 0)).toThrow(SyntaxError);
});
