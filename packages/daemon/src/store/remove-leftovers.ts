import path from 'node:path';
import type {StoreFileSystem} from './types.js';

const ownPrefixes = ['segment-', 'snapshot-', 'identity'];

/**
 * Removes the store's files that are no longer needed: older segments and snapshots, and temporary files. A crash or a failed
 * write can leave them.
 *
 * @param kept - The names of the files that are needed.
 * @throws The errors of the file operations.
 */
export async function removeLeftovers({folder, fileSystem, kept}: {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
	readonly kept: readonly string[];
}): Promise<void> {
	const names = await fileSystem.listFiles(folder);
	const leftovers = names.filter(name => ownPrefixes.some(prefix => name.startsWith(prefix)) && !kept.includes(name));
	await Promise.all(leftovers.map(async name => fileSystem.remove(path.join(folder, name))));
}
