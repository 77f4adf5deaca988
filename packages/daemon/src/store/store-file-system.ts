import {
	mkdir, open, readdir, readFile, rename, rm, truncate,
} from 'node:fs/promises';
import type {StoreFile, StoreFileSystem} from './types.js';

const openToAppend = async (file: string): Promise<StoreFile> => {
	const handle = await open(file, 'a');
	return {
		async appendAll(data) {
			// `write` may write only a part of the data, for example on a full disk.
			for (let offset = 0; offset < data.length;) {
				const {bytesWritten} = await handle.write(data, offset, data.length - offset); // eslint-disable-line no-await-in-loop -- the parts must follow each other
				offset += bytesWritten;
			}
		},
		syncData: async () => handle.datasync(),
		close: async () => handle.close(),
	};
};

const syncFolder = async (folder: string) => {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
};

/** The file operations of the operating system. */
export const storeFileSystem: StoreFileSystem = {
	async createFolder(folder) {
		await mkdir(folder, {recursive: true});
	},
	listFiles: async folder => readdir(folder),
	readFile: async file => readFile(file),
	openToAppend,
	truncate: async (file, length) => truncate(file, length),
	rename: async (from, to) => rename(from, to),
	remove: async file => rm(file, {force: true}),
	syncFolder,
};
