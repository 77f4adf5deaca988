import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createSortedSet, getFirstItem, getItemAt, getItemCount, insertItem, removeItem, type SortedSet,
} from './sorted-set.js';

type Change = {readonly isInsert: boolean; readonly item: number};

const compareNumbers = (left: number, right: number) => left - right;

function applyChange(set: SortedSet<number>, {isInsert, item}: Change): SortedSet<number> {
	return isInsert ? insertItem(set, item) : removeItem(set, item);
}

function getHeight(tree: SortedSet<number>['root']): number {
	return tree === undefined ? 0 : 1 + Math.max(getHeight(tree.left), getHeight(tree.right));
}

const changes = fc.array(fc.record({isInsert: fc.boolean(), item: fc.nat(200)}), {maxLength: 400});

test('after any changes it has the items of a plain sorted array, and no change alters the size of the previous set', () => {
	fc.assert(fc.property(changes, list => {
		let set = createSortedSet(compareNumbers);
		let model: readonly number[] = [];
		for (const change of list) {
			const before = set;
			const countBefore = getItemCount(before);
			set = applyChange(set, change);
			model = model.filter(item => item !== change.item);
			model = change.isInsert ? [...model, change.item].toSorted(compareNumbers) : model;
			expect(getItemCount(before)).toBe(countBefore);
		}

		expect(model.map((_, index) => getItemAt(set, index))).toEqual(model);
		expect(getItemCount(set)).toBe(model.length);
		expect(getFirstItem(set)).toBe(model[0]);
		expect(getItemAt(set, model.length)).toBeUndefined();
	}), {seed: 5});
});

test('its height stays logarithmic when items are inserted and removed in order', () => {
	let set = createSortedSet(compareNumbers);
	for (let item = 0; item < 20_000; item += 1) {
		set = insertItem(set, item);
		set = item >= 10_000 ? removeItem(set, item - 10_000) : set;
	}

	expect(getItemCount(set)).toBe(10_000);
	expect(getHeight(set.root)).toBeLessThan(3 * Math.log2(10_000));
});
