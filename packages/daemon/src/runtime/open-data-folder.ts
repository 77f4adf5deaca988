import {createSuccess, type Result, type TimerService} from '@samphiremill/common';
import type {ControlCommand} from '@samphiremill/core';
import {openClaimsJournal, type ClaimsJournal, type ClaimsJournalUser} from '../claims-journal/claims-journal.js';
import {
	openReplicaStore, storeFileSystem, type ReplicaStore, type StoreError,
} from '../store/index.js';
import {markRunning, unmarkRunning} from './running-marker.js';
import type {StructuredLogger} from './types.js';

/** An open data folder: the durable state of an entry host. */
export type DataFolder = {
	readonly store: ReplicaStore<ControlCommand>;
	readonly journal: ClaimsJournal;
	/** The folder was empty, so no earlier process of this node can have held any state. */
	readonly isFirstStart: boolean;
	/** An earlier process of this node ended without a planned stop. */
	readonly hadUnplannedStop: boolean;
	/**
	 * Closes the folder at the end of a planned stop, when nothing is in flight.
	 *
	 * @param options - `holdsAllClaims`: whether this process has all claims that this host must hold.
	 */
	readonly close: (options: {readonly holdsAllClaims: boolean}) => Promise<void>;
};

const isEmptyFolder = async (folder: string): Promise<boolean> => {
	try {
		const files = await storeFileSystem.listFiles(folder);
		return files.length === 0;
	} catch {
		// Opening the store reports a folder that cannot be listed.
		return true;
	}
};

/**
 * Opens the data folder.
 *
 * @param options - `folder` is undefined on a host without a disk. `journalUser` knows the claims to keep when
 * the journal is rewritten, and hears which ones are synced.
 * @returns The open folder, undefined without a folder, or why the folder cannot be used.
 */
export const openDataFolder = async ({folder, timers, log, journalUser}: {
	readonly folder: string | undefined;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly journalUser: ClaimsJournalUser;
}): Promise<Result<DataFolder | undefined, StoreError>> => {
	if (folder === undefined) {
		return createSuccess(undefined);
	}

	const isFirstStart = await isEmptyFolder(folder);
	const store = await openReplicaStore<ControlCommand>({
		folder,
		timers,
		onWritesFailing({err}) {
			log.error('writes to the data folder fail; this host neither votes nor acknowledges until they succeed', {...err});
		},
		onWritesRecovered({durationMs, tries}) {
			log.info('writes to the data folder succeed again', {durationMs, tries});
		},
	});
	if (!store.ok) {
		return store;
	}

	const journal = await openClaimsJournal({
		folder,
		fileSystem: storeFileSystem,
		timers,
		observer: {
			onWritesFailing({err}) {
				log.error('writes to the journal of claims fail; no job whose claim only this disk can hold starts until they succeed', {...err});
			},
			onWritesRecovered({durationMs, tries}) {
				log.info('writes to the journal of claims succeed again', {durationMs, tries});
			},
		},
		user: journalUser,
	});
	if (!journal.ok) {
		await store.value.close();
		return journal;
	}

	const marked = await markRunning({folder, fileSystem: storeFileSystem});
	if (!marked.ok) {
		await journal.value.close();
		await store.value.close();
		return marked;
	}

	return createSuccess({
		store: store.value,
		journal: journal.value,
		isFirstStart,
		hadUnplannedStop: marked.value,
		async close({holdsAllClaims}) {
			await (holdsAllClaims ? journal.value.closeWithAllRecords() : journal.value.close());
			await unmarkRunning({folder, fileSystem: storeFileSystem});
			await store.value.close();
		},
	});
};

