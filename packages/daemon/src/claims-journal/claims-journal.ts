/**
 * Stores claims on disk, for use when no other entry host can hold their second copy.
 */
import path from 'node:path';
import {
	createFailure, createSuccess, type Result, type TimerService,
} from '@samphiremill/common';
import {restoreClaimRecord, type ClaimName, type ClaimRecord} from '@samphiremill/core';
import {decodeRecord, encodeRecord} from '../store/record-codec.js';
import {tryFileOperation} from '../store/store-errors.js';
import type {
	StoreError, StoreFile, StoreFileSystem, StoreObserver,
} from '../store/types.js';
import {writeFileAtomically} from '../store/write-file-atomically.js';
import {createWriteRetrier} from '../store/write-retrier.js';

const journalName = 'claims.journal';
const maximumJournalBytes = 16_777_216;

/** An open journal of claims. */
export type ClaimsJournal = {
	/** The records found when the journal was opened: the newest one of each name. */
	readonly recovered: readonly ClaimRecord[];
	/** The recovered records are all that were live when the journal was closed, see `closeWithAllRecords`. */
	readonly isComplete: boolean;
	/** Queues a record. Once it is synced to disk, `onSynced` is called; a write that fails is tried again until then. */
	readonly write: (record: ClaimRecord) => void;
	/** Waits for pending writes, unless the disk refuses them. */
	readonly close: () => Promise<void>;
	/** Closes the journal, and leaves all live records in it, unless the disk refuses them. */
	readonly closeWithAllRecords: () => Promise<void>;
};

/** The records that a journal must hold: at least all that were written and still count. */
export type LiveRecords = {
	readonly has: (name: ClaimName) => boolean;
	readonly values: () => Iterable<ClaimRecord>;
};

/** What a journal asks of its user, and reports to it. */
export type ClaimsJournalUser = {
	/** The present records. They include each record that is written, or a newer one of its name, unless it no longer counts. */
	readonly getLiveRecords: () => LiveRecords;
	/** Called with written records once they, or what has replaced them, are synced. */
	readonly onSynced: (records: Iterable<ClaimRecord>) => void;
};

/** The last record of a journal that holds all records which were live when it was closed. */
const completeMark = {type: 'complete'} as const;

const isCompleteMark = (value: unknown): boolean =>
	typeof value === 'object' && value !== null && 'type' in value && value.type === completeMark.type;

type JournalContent = Pick<ClaimsJournal, 'recovered' | 'isComplete'>;

// Records that were written together are one record of the file. Earlier builds, and the start of the file, have one for each.
const listValues = (value: unknown): readonly unknown[] =>
	typeof value === 'object' && value !== null && 'records' in value && Array.isArray(value.records) ? value.records : [value];

const readRecords = (file: string, bytes: Uint8Array): Result<JournalContent, StoreError> => {
	const records = new Map<string, ClaimRecord>();
	let isComplete = false;
	for (let offset = 0; ;) {
		const decoded = decodeRecord(bytes, offset);
		if (decoded.type === 'damaged') {
			return createFailure({
				type: 'store/damaged', file, offset, reason: decoded.reason,
			});
		}

		if (decoded.type !== 'record') {
			return createSuccess({recovered: [...records.values()], isComplete});
		}

		isComplete = isCompleteMark(decoded.value);

		for (const value of listValues(decoded.value)) {
			const record = restoreClaimRecord(value);
			if (record !== undefined) {
				records.set(record.name, record);
			}
		}

		offset = decoded.nextOffset;
	}
};

const concatBytes = (parts: readonly Uint8Array[]): Uint8Array => {
	const bytes = new Uint8Array(parts.reduce((total, part) => total + part.length, 0));
	let offset = 0;
	for (const part of parts) {
		bytes.set(part, offset);
		offset += part.length;
	}

	return bytes;
};

const encodeAll = (records: readonly ClaimRecord[]): Uint8Array => concatBytes(records.map(record => encodeRecord(record)));

const loadJournal = async (folder: string, fileSystem: StoreFileSystem): Promise<Result<JournalContent, StoreError>> => {
	const file = path.join(folder, journalName);
	await fileSystem.createFolder(folder);
	const files = await fileSystem.listFiles(folder);
	if (!files.includes(journalName)) {
		return createSuccess({recovered: [], isComplete: false});
	}

	return readRecords(file, await fileSystem.readFile(file));
};

/**
 * Opens the journal of claims and rewrites it without superseded records.
 *
 * After a failed append or sync it is unknown what the disk holds, so the file is cut to its last good sync and abandoned. All
 * live records are written to a new file, again and again until it is synced.
 *
 * @returns The journal, or why it cannot be used.
 */
export async function openClaimsJournal({folder, fileSystem, timers, observer, user}: {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
	/** Times the tries after a failed write. */
	readonly timers: TimerService;
	readonly observer: StoreObserver;
	readonly user: ClaimsJournalUser;
}): Promise<Result<ClaimsJournal, StoreError>> {
	const file = path.join(folder, journalName);
	const loaded = await tryFileOperation({file, operation: 'open'}, async () => loadJournal(folder, fileSystem));
	if (!loaded.ok) {
		return loaded;
	}

	if (!loaded.value.ok) {
		return loaded.value;
	}

	const {recovered, isComplete} = loaded.value.value;
	const retrier = createWriteRetrier({timers, observer});
	let journal: StoreFile | undefined;
	let sizeBytes = 0;
	let queued = new Map<ClaimName, ClaimRecord>();
	let draining: Promise<void> | undefined;
	let isClosing = false;

	// Also an error releases the file descriptor, and nothing that counts is left to be written.
	const closeFile = async () => {
		const closing = journal;
		journal = undefined;
		await tryFileOperation({file, operation: 'close'}, async () => closing?.close());
	};

	const rewrite = async (data: Uint8Array) => tryFileOperation({file, operation: 'rewrite'}, async () => {
		await closeFile();
		await writeFileAtomically({
			folder, fileSystem, name: journalName, data,
		});
		journal = await fileSystem.openToAppend(file);
		sizeBytes = data.length;
	});

	const append = async (records: readonly ClaimRecord[]) => {
		// A torn write is told from damage only if what is synced together is one record.
		const data = encodeRecord({records});
		const appended = await tryFileOperation({file, operation: 'append'}, async () => journal?.appendAll(data));
		if (!appended.ok) {
			return appended;
		}

		const synced = await tryFileOperation({file, operation: 'sync'}, async () => journal?.syncData());
		if (!synced.ok) {
			return synced;
		}

		sizeBytes += data.length;
		return sizeBytes > maximumJournalBytes ? rewrite(encodeAll([...user.getLiveRecords().values()])) : createSuccess(undefined);
	};

	const abandonFile = async () => {
		await closeFile();
		await tryFileOperation({file, operation: 'truncate'}, async () => fileSystem.truncate(file, sizeBytes));
	};

	// Records that no longer count would fill the memory while the disk refuses all writes.
	const dropUnused = () => {
		const live = user.getLiveRecords();
		queued = new Map([...queued].filter(([name]) => live.has(name)));
	};

	const writeBatch = async (batch: readonly ClaimRecord[]): Promise<Result<void, StoreError>> => {
		const result = await append(batch);
		if (result.ok) {
			return result;
		}

		await abandonFile();
		const data = encodeAll([...user.getLiveRecords().values()]);
		return retrier.retryUntilSynced(result.err, async () => {
			dropUnused();
			return rewrite(data);
		});
	};

	// An error of the user rejects this promise only, and ends no later write.
	const report = async (batch: readonly ClaimRecord[]) => {
		user.onSynced(batch);
	};

	const drain = async () => {
		while (queued.size > 0) {
			const batch = [...queued.values()];
			queued = new Map();
			const result = await writeBatch(batch); // eslint-disable-line no-await-in-loop -- batches are written in order
			if (!result.ok) {
				// The journal is being closed while its disk refuses writes.
				return;
			}

			void report(batch);
		}

		draining = undefined;
	};

	const endWrites = async () => {
		isClosing = true;
		retrier.end();
		await draining;
	};

	const prepared = await rewrite(encodeAll(recovered));
	if (!prepared.ok) {
		return prepared;
	}

	return createSuccess({
		recovered,
		isComplete,
		write(record) {
			if (!isClosing) {
				queued.set(record.name, record);
				draining ??= drain();
			}
		},
		async close() {
			await endWrites();
			await closeFile();
		},
		async closeWithAllRecords() {
			await endWrites();
			await rewrite(concatBytes([encodeAll([...user.getLiveRecords().values()]), encodeRecord(completeMark)]));
			await closeFile();
		},
	});
}
