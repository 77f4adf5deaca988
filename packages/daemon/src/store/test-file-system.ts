/** Files in memory that forget on a crash what wasn't synced. */
import path from 'node:path';
import type {StoreFileSystem} from './types.js';

type MemoryFile = {content: readonly number[]; syncedLength: number};

/** A file system for tests. */
export type TestFileSystem = StoreFileSystem & {
	readonly countOperations: () => number;
	/** Lets the given operation, counted from 1, fail with the error, and all after it. */
	readonly failFrom: (operation: number, err: Error) => void;
	/** Goes back to what was synced, with a part of what wasn't, and works again. */
	readonly crash: (keptShare: number) => void;
	readonly getFile: (name: string) => Uint8Array | undefined;
	readonly setFile: (name: string, content: Uint8Array) => void;
	readonly listNames: () => readonly string[];
};

/** @returns An empty folder in memory. The store's lock lies on the real disk all the same. */
export function createTestFileSystem(): TestFileSystem {
	let names = new Map<string, MemoryFile>();
	let syncedNames = new Map<string, MemoryFile>();
	let operations = 0;
	let failure: {readonly from: number; readonly err: Error} | undefined;

	const count = () => {
		operations += 1;
		if (failure !== undefined && operations >= failure.from) {
			throw failure.err;
		}
	};

	const get = (file: string) => {
		const found = names.get(path.basename(file));
		if (found === undefined) {
			throw Object.assign(new Error(`No file ${file}`), {code: 'ENOENT'});
		}

		return found;
	};

	return {
		async createFolder() {
			count();
		},
		async listFiles() {
			return [...names.keys()];
		},
		readFile: async file => Uint8Array.from(get(file).content),
		async openToAppend(file) {
			count();
			const name = path.basename(file);
			const opened = names.get(name) ?? {content: [], syncedLength: 0};
			names.set(name, opened);
			return {
				async appendAll(data) {
					count();
					opened.content = [...opened.content, ...data];
				},
				async syncData() {
					count();
					opened.syncedLength = opened.content.length;
				},
				async close() {
					count();
				},
			};
		},
		async truncate(file, length) {
			count();
			const found = get(file);
			found.content = found.content.slice(0, length);
			found.syncedLength = Math.min(found.syncedLength, length);
		},
		async rename(from, to) {
			count();
			names.set(path.basename(to), get(from));
			names.delete(path.basename(from));
		},
		async remove(file) {
			count();
			names.delete(path.basename(file));
		},
		async syncFolder() {
			count();
			syncedNames = new Map(names);
		},
		countOperations: () => operations,
		failFrom(operation, err) {
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
