/** Files in memory that lose unsynced data on a simulated crash. */
import path from 'node:path';
import type {StoreFileSystem} from './types.js';

type MemoryFile = {
	/** What the process reads. */
	content: readonly number[];
	/** What the disk holds. */
	synced: readonly number[];
	/** The next sync writes the content from here on. */
	unsyncedFrom: number;
};

/** Operations that fail. */
export type TestFailure = {
	/** The first operation that fails, counted from 1. */
	readonly from: number;
	/** How many operations fail; all from the first on by default. */
	readonly count?: number;
	readonly err: Error;
	/**
	 * Whether a failed sync loses what was written before it: later syncs of the file succeed, but the disk has zeros there, and
	 * later syncs of the folder leave out what was renamed and removed before. Systems differ in this.
	 */
	readonly losesUnsynced?: boolean;
};

/** A file system for tests. */
export type TestFileSystem = StoreFileSystem & {
	readonly countOperations: () => number;
	readonly failOperations: (...failures: readonly TestFailure[]) => void;
	readonly endFailure: () => void;
	/**
	 * Restores the synced state plus a share of the unsynced data (0 to 1), and ends the failure.
	 *
	 * @param isNameKept - Whether an unsynced creation, rename or removal of a file has reached the disk; none has by default.
	 */
	readonly crash: (keptShare: number, isNameKept?: (name: string) => boolean) => void;
	readonly getFile: (name: string) => Uint8Array | undefined;
	readonly setFile: (name: string, content: Uint8Array) => void;
	readonly listNames: () => readonly string[];
};

/** Creates an empty folder in memory. The store's lock file is still created on the real disk. */
export function createTestFileSystem(): TestFileSystem {
	let names = new Map<string, MemoryFile>();
	const syncedNames = new Map<string, MemoryFile>();
	let unsyncedNames = new Set<string>();
	let operationCount = 0;
	let failures: readonly TestFailure[] = [];

	const isFailing = ({from, count = Number.POSITIVE_INFINITY}: TestFailure) => operationCount >= from && operationCount < from + count;

	const countOperation = (onFailure?: (failure: TestFailure) => void) => {
		operationCount += 1;
		const failure = failures.find(other => isFailing(other));
		if (failure !== undefined) {
			onFailure?.(failure);
			throw failure.err;
		}
	};

	const setName = (name: string, file: MemoryFile | undefined) => {
		unsyncedNames.add(name);
		if (file === undefined) {
			names.delete(name);
		} else {
			names.set(name, file);
		}
	};

	const saveNames = (saved: Iterable<string>) => {
		for (const name of saved) {
			const file = names.get(name);
			if (file === undefined) {
				syncedNames.delete(name);
			} else {
				syncedNames.set(name, file);
			}
		}

		unsyncedNames = new Set();
	};

	// What a failed sync has lost reads as zeros after a crash.
	const getDiskContent = ({content, synced, unsyncedFrom}: MemoryFile) => content
		.map((byte, index) => synced[index] ?? (index < unsyncedFrom ? 0 : byte));

	const getExisting = (file: string) => {
		const found = names.get(path.basename(file));
		if (found === undefined) {
			throw Object.assign(new Error(`No file ${file}`), {code: 'ENOENT'});
		}

		return found;
	};

	return {
		async createFolder() {
			countOperation();
		},
		async listFiles() {
			return [...names.keys()];
		},
		readFile: async file => Uint8Array.from(getExisting(file).content),
		async openToRead(file) {
			const content = Uint8Array.from(getExisting(file).content);
			return {
				lengthBytes: content.length,
				read: async (offset, lengthBytes) => content.subarray(offset, offset + lengthBytes),
				async close() {
					// Nothing is held open.
				},
			};
		},
		async openToAppend(file) {
			countOperation();
			const name = path.basename(file);
			const opened = names.get(name) ?? {content: [], synced: [], unsyncedFrom: 0};
			if (!names.has(name)) {
				setName(name, opened);
			}

			return {
				async appendAll(data) {
					// A full disk takes a part of the data.
					countOperation(() => {
						opened.content = [...opened.content, ...data.slice(0, Math.floor(data.length / 2))];
					});
					opened.content = [...opened.content, ...data];
				},
				async syncData() {
					countOperation(({losesUnsynced = false}) => {
						opened.unsyncedFrom = losesUnsynced ? opened.content.length : opened.unsyncedFrom;
					});
					opened.synced = getDiskContent(opened);
					opened.unsyncedFrom = opened.content.length;
				},
				async close() {
					countOperation();
				},
			};
		},
		async truncate(file, length) {
			countOperation();
			const found = getExisting(file);
			found.content = found.content.slice(0, length);
			found.synced = found.synced.slice(0, length);
			found.unsyncedFrom = Math.min(found.unsyncedFrom, length);
		},
		async rename(from, to) {
			countOperation();
			setName(path.basename(to), getExisting(from));
			setName(path.basename(from), undefined);
		},
		async remove(file) {
			countOperation();
			setName(path.basename(file), undefined);
		},
		async syncFolder() {
			countOperation(({losesUnsynced = false}) => {
				unsyncedNames = losesUnsynced ? new Set() : unsyncedNames;
			});
			saveNames(unsyncedNames);
		},
		countOperations: () => operationCount,
		failOperations(...next) {
			failures = next;
		},
		endFailure() {
			failures = [];
		},
		crash(keptShare, isNameKept = () => false) {
			failures = [];
			saveNames([...unsyncedNames].filter(name => isNameKept(name)));
			names = new Map(syncedNames);
			for (const file of names.values()) {
				const kept = file.synced.length + Math.floor((file.content.length - file.synced.length) * keptShare);
				const content = getDiskContent(file).slice(0, kept);
				Object.assign(file, {content, synced: content, unsyncedFrom: content.length});
			}
		},
		getFile(name) {
			const found = names.get(name);
			return found === undefined ? undefined : Uint8Array.from(found.content);
		},
		setFile(name, content) {
			names.set(name, {content: [...content], synced: [...content], unsyncedFrom: content.length});
		},
		listNames: () => [...names.keys()].toSorted(),
	};
}
