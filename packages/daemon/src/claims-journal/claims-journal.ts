/**
 * Stores claims on disk, for use when no other entry host can hold their second copy.
 */
import path from 'node:path';
import {createFailure, createSuccess, type Result} from '@samphiremill/common';
import {restoreClaimRecord, type ClaimRecord} from '@samphiremill/core';
import {decodeRecord, encodeRecord} from '../store/record-codec.js';
import {tryFileOperation} from '../store/store-errors.js';
import type {StoreError, StoreFile, StoreFileSystem} from '../store/types.js';
import {writeFileAtomically} from '../store/write-file-atomically.js';

const journalName = 'claims.journal';
const maximumJournalBytes = 16_777_216;

/** An open journal of claims. */
export type ClaimsJournal = {
	/** The records found when the journal was opened: the newest one of each name. */
	readonly recovered: readonly ClaimRecord[];
	/** Resolves once the record is synced to disk. After a failure all writes fail. */
	readonly write: (record: ClaimRecord) => Promise<Result<void, StoreError>>;
	readonly close: () => Promise<void>;
};

type QueuedWrite = {
	readonly record: ClaimRecord;
	readonly settle: (result: Result<void, StoreError>) => void;
};

const readRecords = (file: string, bytes: Uint8Array): Result<ReadonlyMap<string, ClaimRecord>, StoreError> => {
	const records = new Map<string, ClaimRecord>();
	for (let offset = 0; ;) {
		const decoded = decodeRecord(bytes, offset);
		if (decoded.type === 'damaged') {
			return createFailure({
				type: 'store/damaged', file, offset, reason: decoded.reason,
			});
		}

		if (decoded.type !== 'record') {
			return createSuccess(records);
		}

		const record = restoreClaimRecord(decoded.value);
		if (record !== undefined) {
			records.set(record.name, record);
		}

		offset = decoded.nextOffset;
	}
};

const encodeAll = (records: readonly ClaimRecord[]): Uint8Array => {
	const parts = records.map(record => encodeRecord(record));
	const bytes = new Uint8Array(parts.reduce((total, part) => total + part.length, 0));
	let offset = 0;
	for (const part of parts) {
		bytes.set(part, offset);
		offset += part.length;
	}

	return bytes;
};

const loadJournal = async (folder: string, fileSystem: StoreFileSystem): Promise<Result<readonly ClaimRecord[], StoreError>> => {
	const file = path.join(folder, journalName);
	await fileSystem.createFolder(folder);
	const files = await fileSystem.listFiles(folder);
	if (!files.includes(journalName)) {
		return createSuccess([]);
	}

	const read = readRecords(file, await fileSystem.readFile(file));
	return read.ok ? createSuccess([...read.value.values()]) : read;
};

/**
 * Opens the journal of claims and rewrites it without superseded records.
 *
 * @param options - `listLiveRecords` lists the records to keep when the journal is rewritten later.
 * @returns The journal, or why it cannot be used.
 */
export async function openClaimsJournal({folder, fileSystem, listLiveRecords}: {
	readonly folder: string;
	readonly fileSystem: StoreFileSystem;
	readonly listLiveRecords: () => readonly ClaimRecord[];
}): Promise<Result<ClaimsJournal, StoreError>> {
	const file = path.join(folder, journalName);
	const loaded = await tryFileOperation({file, operation: 'open'}, async () => loadJournal(folder, fileSystem));
	if (!loaded.ok) {
		return loaded;
	}

	if (!loaded.value.ok) {
		return loaded.value;
	}

	const recovered = loaded.value.value;
	let journal: StoreFile | undefined;
	let sizeBytes = 0;
	let queue: readonly QueuedWrite[] = [];
	let failure: StoreError | undefined;
	let draining: Promise<void> | undefined;

	const rewrite = async (records: readonly ClaimRecord[]) => {
		const data = encodeAll(records);
		await writeFileAtomically({
			folder, fileSystem, name: journalName, data,
		});
		await journal?.close();
		journal = await fileSystem.openToAppend(file);
		sizeBytes = data.length;
	};

	const append = async (records: readonly ClaimRecord[]) => {
		const data = encodeAll(records);
		await journal?.appendAll(data);
		await journal?.syncData();
		sizeBytes += data.length;
		if (sizeBytes > maximumJournalBytes) {
			await rewrite(listLiveRecords());
		}
	};

	const writeBatch = async (batch: readonly QueuedWrite[]) => {
		const result = failure === undefined
			? await tryFileOperation({file, operation: 'append'}, async () => append(batch.map(({record}) => record)))
			: createFailure(failure);
		failure = result.ok ? undefined : result.err;
		for (const {settle} of batch) {
			settle(result.ok ? createSuccess(undefined) : result);
		}
	};

	const drain = async () => {
		while (queue.length > 0) {
			const batch = queue;
			queue = [];
			await writeBatch(batch); // eslint-disable-line no-await-in-loop -- batches are written in order
		}

		draining = undefined;
	};

	const prepared = await tryFileOperation({file, operation: 'rewrite'}, async () => rewrite(recovered));
	if (!prepared.ok) {
		return prepared;
	}

	return createSuccess({
		recovered,
		write: async record => new Promise(resolve => {
			queue = [...queue, {record, settle: resolve}];
			draining ??= drain();
		}),
		async close() {
			await draining;
			await tryFileOperation({file, operation: 'close'}, async () => journal?.close());
		},
	});
}
