/**
 * Prevents two daemons from using the same data folder. The lock is a hard link, which the system
 * lets only one process create. It records its holder's process id, start time, process namespace and
 * boot id, so that a lock left by a crash can be recognised as stale. A process that replaces a stale
 * lock holds a second lock (`lock.takeover`) meanwhile. If it dies then, later starts fail with
 * `store/locked` until an operator removes that file.
 */
import {randomUUID} from 'node:crypto';
import {
	link, readFile, readlink, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {
	createFailure, createSuccess, type Result,
} from '@samphiremill/common';
import {getErrorCode} from './store-errors.js';
import type {StoreError} from './types.js';

type LockHolder = {
	readonly pid: number;
	readonly startTime: string;
	readonly processNamespace: string;
	readonly bootId: string;
};

const readOrEmpty = async (read: Promise<string>) => {
	try {
		const text = await read;
		return text.trim();
	} catch {
		return '';
	}
};

// The command name, in parentheses, may contain spaces; the start time is the 20th field after it.
const getStartTime = async (pid: number) => {
	const stat = await readOrEmpty(readFile(`/proc/${pid}/stat`, 'utf8'));
	return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19] ?? '';
};

const getOwnHolder = async (): Promise<LockHolder> => ({
	pid: process.pid,
	startTime: await getStartTime(process.pid),
	processNamespace: await readOrEmpty(readlink('/proc/self/ns/pid')),
	bootId: await readOrEmpty(readFile('/proc/sys/kernel/random/boot_id', 'utf8')),
});

const isRunning = (pid: number) => {
	try {
		process.kill(pid, 0);
		return true;
	} catch (err) {
		return getErrorCode(err) !== 'ESRCH';
	}
};

const isStale = async (holder: LockHolder, own: LockHolder) => {
	if (holder.bootId !== own.bootId) {
		return true;
	}

	if (holder.processNamespace !== own.processNamespace) {
		return false;
	}

	return !isRunning(holder.pid) || await getStartTime(holder.pid) !== holder.startTime;
};

const readHolder = async (file: string): Promise<LockHolder | undefined> => {
	const text = await readOrEmpty(readFile(file, 'utf8'));
	try {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- only this module writes the file
		return JSON.parse(text) as LockHolder;
	} catch {
		return undefined;
	}
};

const tryLink = async (from: string, to: string) => {
	try {
		await link(from, to);
		return true;
	} catch (err) {
		if (getErrorCode(err) === 'EEXIST') {
			return false;
		}

		throw err;
	}
};

const replaceStaleLock = async ({holderFile, lock, own}: {
	readonly holderFile: string;
	readonly lock: string;
	readonly own: LockHolder;
}) => {
	const guard = `${lock}.takeover`;
	if (!await tryLink(holderFile, guard)) {
		return false;
	}

	// Reads the lock again: another process may have replaced the stale lock in the meantime.
	const holder = await readHolder(lock);
	if (holder !== undefined && await isStale(holder, own)) {
		await rm(lock);
	}

	const isTaken = await tryLink(holderFile, lock);
	await rm(guard);
	return isTaken;
};

/** Releases the lock of a data folder. */
export type ReleaseLock = () => Promise<void>;

/**
 * Locks a data folder for this process.
 *
 * @param folder - The data folder. It must exist and be on a local disk.
 * @returns The function that releases the lock, or `store/locked` with the holder.
 */
export async function lockFolder(folder: string): Promise<Result<ReleaseLock, StoreError>> {
	const lock = path.join(folder, 'lock');
	const holderFile = path.join(folder, `lock.${randomUUID()}`);
	const own = await getOwnHolder();
	await writeFile(holderFile, JSON.stringify(own));
	try {
		const isTaken = await tryLink(holderFile, lock) || await replaceStaleLock({holderFile, lock, own});
		const holder = isTaken ? undefined : await readHolder(lock);
		return isTaken
			? createSuccess(async () => rm(lock, {force: true}))
			: createFailure({type: 'store/locked', file: lock, holder: holder === undefined ? 'unknown' : `process ${holder.pid}`});
	} finally {
		await rm(holderFile, {force: true});
	}
}
