import path from 'node:path';
import type {StoreFileSystem} from './types.js';

/**
 * Writes a file so that after a crash it either exists with its whole content or does not exist:
 * writes and syncs a temporary file, renames it and syncs the folder.
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
	const handle = await fileSystem.openToAppend(temporaryFile);
	try {
		await handle.appendAll(data);
		await handle.syncData();
	} finally {
		await handle.close();
	}

	await fileSystem.rename(temporaryFile, file);
	await fileSystem.syncFolder(folder);
}
