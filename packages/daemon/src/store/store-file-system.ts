import {Buffer} from 'node:buffer';
import {
	mkdir, open, readdir, readFile, rename, rm, truncate,
} from 'node:fs/promises';
import type {StoreFile, StoreFileReader, StoreFileSystem} from './types.js';

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

const openToRead = async (file: string): Promise<StoreFileReader> => {
	const handle = await open(file, 'r');
	const {size} = await handle.stat();
	return {
		lengthBytes: size,
		async read(offset, lengthBytes) {
			const buffer = Buffer.allocUnsafe(Math.max(0, Math.min(lengthBytes, size - offset)));
			let filled = 0;
			// `read` may return only a part of the data.
			while (filled < buffer.length) {
				const {bytesRead} = await handle.read(buffer, filled, buffer.length - filled, offset + filled); // eslint-disable-line no-await-in-loop -- the parts follow each other
				if (bytesRead === 0) {
					break;
				}

				filled += bytesRead;
			}

			return buffer.subarray(0, filled);
		},
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
	openToRead,
	openToAppend,
	truncate: async (file, length) => truncate(file, length),
	rename: async (from, to) => rename(from, to),
	remove: async file => rm(file, {force: true}),
	syncFolder,
};
