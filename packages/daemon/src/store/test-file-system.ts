/** Files in memory that lose unsynced data on a simulated crash. */
import path from 'node:path';
import type {StoreFileSystem} from './types.js';

type MemoryFile = {content: readonly number[]; syncedLength: number};

/** A file system for tests. */
export type TestFileSystem = StoreFileSystem & {
	readonly countOperations: () => number;
	/** Makes the given operation, counted from 1, and all later ones fail with the error. */
	readonly failFromOperation: (operation: number, err: Error) => void;
	/** Restores the synced state plus a share of the unsynced data (0 to 1), and ends the failure. */
	readonly crash: (keptShare: number) => void;
	readonly getFile: (name: string) => Uint8Array | undefined;
	readonly setFile: (name: string, content: Uint8Array) => void;
	readonly listNames: () => readonly string[];
};

/** Creates an empty folder in memory. The store's lock file is still created on the real disk. */
export function createTestFileSystem(): TestFileSystem {
	let names = new Map<string, MemoryFile>();
	let syncedNames = new Map<string, MemoryFile>();
	let operationCount = 0;
	let failure: {readonly from: number; readonly err: Error} | undefined;

	const countOperation = () => {
		operationCount += 1;
		if (failure !== undefined && operationCount >= failure.from) {
			throw failure.err;
		}
	};

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
		async openToAppend(file) {
			countOperation();
			const name = path.basename(file);
			const opened = names.get(name) ?? {content: [], syncedLength: 0};
			names.set(name, opened);
			return {
				async appendAll(data) {
					countOperation();
					opened.content = [...opened.content, ...data];
				},
				async syncData() {
					countOperation();
					opened.syncedLength = opened.content.length;
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
			found.syncedLength = Math.min(found.syncedLength, length);
		},
		async rename(from, to) {
			countOperation();
			names.set(path.basename(to), getExisting(from));
			names.delete(path.basename(from));
		},
		async remove(file) {
			countOperation();
			names.delete(path.basename(file));
		},
		async syncFolder() {
			countOperation();
			syncedNames = new Map(names);
		},
		countOperations: () => operationCount,
		failFromOperation(operation, err) {
			failure = {from: operation, err};
		},
		crash(keptShare) {
			failure = undefined;
			names = new Map(syncedNames);
			for (const file of names.values()) {
				const kept = file.syncedLength + Math.floor((file.content.length - file.syncedLength) * keptShare);
				file.content = file.content.slice(0, kept);
			}
		},
		getFile(name) {
			const found = names.get(name);
			return found === undefined ? undefined : Uint8Array.from(found.content);
		},
		setFile(name, content) {
			names.set(name, {content: [...content], syncedLength: content.length});
		},
		listNames: () => [...names.keys()].toSorted(),
	};
}
