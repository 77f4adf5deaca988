import fc from 'fast-check';
import {expect, test} from 'vitest';
import {rankMembers} from './rendezvous.js';

test('the loss of a member reassigns only the keys that it owned', () => {
	fc.assert(fc.property(
		fc.uniqueArray(fc.string({minLength: 1, maxLength: 6}), {minLength: 2, maxLength: 9}),
		fc.string(),
		(members, key) => {
			const ranked = rankMembers(key, members);
			const lost = ranked.at(-1);
			expect(rankMembers(key, members.filter(member => member !== lost))).toEqual(ranked.slice(0, -1));
		},
	), {seed: 1});
});

test('each of nine members owns between 850 and 1150 of 9000 keys', () => {
	const members = Array.from({length: 9}, (_, index) => `node-${index}`);
	const counts = new Map<string, number>();
	for (let index = 0; index < 9000; index += 1) {
		const owner = rankMembers(`key-${index}`, members)[0] ?? '';
		counts.set(owner, (counts.get(owner) ?? 0) + 1);
	}

	expect(counts.size).toBe(9);
	expect(Math.min(...counts.values())).toBeGreaterThan(850);
	expect(Math.max(...counts.values())).toBeLessThan(1150);
});
