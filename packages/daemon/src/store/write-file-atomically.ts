import path from 'node:path';
import {tryFileOperation} from './store-errors.js';
import type {StoreFileSystem} from './types.js';

/**
 * Writes a file so that after a crash it either exists with its whole content or does not exist:
 * writes and syncs a temporary file, renames it and syncs the folder. After an error, the temporary file is removed,
 * so that it does not take the last space of a full disk.
 *
 * @throws The errors of the file operations.
 */
export async function writeFileAtomically({folder, fileSystem, name, data}: {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
	readonly name: string;
	readonly data: Uint8Array;
}): Promise<void> {
	const file = path.join(folder, name);
	const temporaryFile = `${file}.tmp`;
	await fileSystem.remove(temporaryFile);
	try {
		const handle = await fileSystem.openToAppend(temporaryFile);
		try {
			await handle.appendAll(data);
			await handle.syncData();
		} finally {
			await handle.close();
		}

		await fileSystem.rename(temporaryFile, file);
	} catch (err) {
		await tryFileOperation({file: temporaryFile, operation: 'remove'}, async () => fileSystem.remove(temporaryFile));
		throw err;
	}

	await fileSystem.syncFolder(folder);
}
