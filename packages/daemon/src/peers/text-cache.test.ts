import {expect, test, vi} from 'vitest';
import {createTextCache, type JsonObject} from './text-cache.js';

test('an object is encoded once while its text is kept', () => {
	const encode = vi.fn(JSON.stringify);
	const cache = createTextCache(encode, 100);
	const value = {index: 1};
	expect([cache.encode(value), cache.encode(value), encode.mock.calls.length]).toEqual(['{"index":1}', '{"index":1}', 1]);
});

// Review of issue 44, case 2: the text of each log entry was kept for as long as the entry, so a leader held its log twice.
test('kept texts stay within their total length, and the oldest go first', () => {
	const cache = createTextCache(({text}) => String(text), 10);
	const values: readonly JsonObject[] = ['aaaa', 'bbbb', 'cccc', 'd'.repeat(50), 'eeee'].map(text => ({text}));
	const lengths = values.map(value => {
		cache.encode(value);
		return cache.getLength();
	});
	expect(lengths).toEqual([4, 8, 8, 0, 4]);
});
