import path from 'node:path';
import type {Result} from '@samphiremill/common';
import {tryFileOperation} from '../store/store-errors.js';
import type {StoreError, StoreFileSystem} from '../store/types.js';
import {writeFileAtomically} from '../store/write-file-atomically.js';

const markerName = 'running';

type MarkerOptions = {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
};

/**
 * Marks the data folder as in use by a running process.
 *
 * @returns Whether an earlier process ended without a planned stop, in which case its tasks may still run.
 */
export async function markRunning({folder, fileSystem}: MarkerOptions): Promise<Result<boolean, StoreError>> {
	return tryFileOperation({file: path.join(folder, markerName), operation: 'mark'}, async () => {
		const files = await fileSystem.listFiles(folder);
		await writeFileAtomically({
			folder, fileSystem, name: markerName, data: new TextEncoder().encode('running\n'),
		});
		return files.includes(markerName);
	});
}

/** Removes the mark at the end of a planned stop, when nothing is in flight. */
export async function unmarkRunning({folder, fileSystem}: MarkerOptions): Promise<Result<void, StoreError>> {
	return tryFileOperation({file: path.join(folder, markerName), operation: 'unmark'}, async () => {
		await fileSystem.remove(path.join(folder, markerName));
		await fileSystem.syncFolder(folder);
	});
}
