/**
 * A persistent ordered set: a weight-balanced tree whose every change costs the logarithm of its size
 * and shares the rest with the set before it.
 */

/** Orders two items; 0 means that they are the same item. */
export type Compare<Item> = (left: Item, right: Item) => number;

type TreeNode<Item> = {
	readonly item: Item;
	readonly size: number;
	readonly left: Tree<Item>;
	readonly right: Tree<Item>;
};

type Tree<Item> = TreeNode<Item> | undefined;

/** An immutable set of items in the order of its comparison. */
export type SortedSet<Item> = {
	readonly compare: Compare<Item>;
	readonly root: Tree<Item>;
};

/** One side may weigh at most this many times the other. */
const maximumWeightRatio = 3;
/** From this ratio of the inner to the outer grandchild on, a rotation is a double one. */
const doubleRotationRatio = 2;

function getTreeSize<Item>(tree: Tree<Item>): number {
	return tree?.size ?? 0;
}

function createNode<Item>(item: Item, left: Tree<Item>, right: Tree<Item>): TreeNode<Item> {
	return {
		item, size: getTreeSize(left) + getTreeSize(right) + 1, left, right,
	};
}

function rotateLeft<Item>(item: Item, left: Tree<Item>, right: TreeNode<Item>): TreeNode<Item> {
	const inner = right.left;
	if (inner === undefined || getTreeSize(inner) < doubleRotationRatio * getTreeSize(right.right)) {
		return createNode(right.item, createNode(item, left, inner), right.right);
	}

	return createNode(
		inner.item,
		createNode(item, left, inner.left),
		createNode(right.item, inner.right, right.right),
	);
}

function rotateRight<Item>(item: Item, left: TreeNode<Item>, right: Tree<Item>): TreeNode<Item> {
	const inner = left.right;
	if (inner === undefined || getTreeSize(inner) < doubleRotationRatio * getTreeSize(left.left)) {
		return createNode(left.item, left.left, createNode(item, inner, right));
	}

	return createNode(
		inner.item,
		createNode(left.item, left.left, inner.left),
		createNode(item, inner.right, right),
	);
}

function balance<Item>(item: Item, left: Tree<Item>, right: Tree<Item>): TreeNode<Item> {
	const leftSize = getTreeSize(left);
	const rightSize = getTreeSize(right);
	if (leftSize + rightSize <= 1) {
		return createNode(item, left, right);
	}

	if (right !== undefined && rightSize > maximumWeightRatio * leftSize) {
		return rotateLeft(item, left, right);
	}

	if (left !== undefined && leftSize > maximumWeightRatio * rightSize) {
		return rotateRight(item, left, right);
	}

	return createNode(item, left, right);
}

function insertNode<Item>(tree: Tree<Item>, item: Item, compare: Compare<Item>): TreeNode<Item> {
	if (tree === undefined) {
		return createNode(item, undefined, undefined);
	}

	const order = compare(item, tree.item);
	if (order < 0) {
		return balance(tree.item, insertNode(tree.left, item, compare), tree.right);
	}

	if (order > 0) {
		return balance(tree.item, tree.left, insertNode(tree.right, item, compare));
	}

	return createNode(item, tree.left, tree.right);
}

function getFirstNode<Item>(tree: TreeNode<Item>): TreeNode<Item> {
	let node = tree;
	while (node.left !== undefined) {
		node = node.left;
	}

	return node;
}

function removeFirstNode<Item>(tree: TreeNode<Item>): Tree<Item> {
	return tree.left === undefined
		? tree.right
		: balance(tree.item, removeFirstNode(tree.left), tree.right);
}

function joinSubtrees<Item>(left: Tree<Item>, right: Tree<Item>): Tree<Item> {
	if (left === undefined) {
		return right;
	}

	if (right === undefined) {
		return left;
	}

	return balance(getFirstNode(right).item, left, removeFirstNode(right));
}

function removeNode<Item>(tree: Tree<Item>, item: Item, compare: Compare<Item>): Tree<Item> {
	if (tree === undefined) {
		return undefined;
	}

	const order = compare(item, tree.item);
	if (order < 0) {
		const left = removeNode(tree.left, item, compare);
		return left === tree.left ? tree : balance(tree.item, left, tree.right);
	}

	if (order > 0) {
		const right = removeNode(tree.right, item, compare);
		return right === tree.right ? tree : balance(tree.item, tree.left, right);
	}

	return joinSubtrees(tree.left, tree.right);
}

/**
 * @param compare - The order of the items.
 * @returns An empty set.
 */
export function createSortedSet<Item>(compare: Compare<Item>): SortedSet<Item> {
	return {compare, root: undefined};
}

/**
 * @param set - The set before.
 * @param item - The item to add; it replaces an equal one.
 * @returns The set with the item.
 */
export function insertItem<Item>(set: SortedSet<Item>, item: Item): SortedSet<Item> {
	return {compare: set.compare, root: insertNode(set.root, item, set.compare)};
}

/**
 * @param set - The set before.
 * @param item - The item to take out; it may be missing.
 * @returns The set without the item.
 */
export function removeItem<Item>(set: SortedSet<Item>, item: Item): SortedSet<Item> {
	const root = removeNode(set.root, item, set.compare);
	return root === set.root ? set : {compare: set.compare, root};
}

/**
 * @param set - The set to look into.
 * @returns How many items it has.
 */
export function getItemCount<Item>(set: SortedSet<Item>): number {
	return getTreeSize(set.root);
}

/**
 * @param set - The set to look into.
 * @returns The least item, or `undefined` where the set is empty.
 */
export function getFirstItem<Item>(set: SortedSet<Item>): Item | undefined {
	return set.root === undefined ? undefined : getFirstNode(set.root).item;
}

/**
 * @param set - The set to look into.
 * @param index - A position in the order, from 0.
 * @returns The item there, or `undefined` past the end.
 */
export function getItemAt<Item>(set: SortedSet<Item>, index: number): Item | undefined {
	let tree = set.root;
	let remaining = index;
	while (tree !== undefined) {
		const leftSize = getTreeSize(tree.left);
		if (remaining === leftSize) {
			return tree.item;
		}

		if (remaining < leftSize) {
			tree = tree.left;
		} else {
			remaining -= leftSize + 1;
			tree = tree.right;
		}
	}

	return undefined;
}
