import {
	createFailure, createSuccess, type Result, type TimerService,
} from '@samphiremill/common';
import {applyPersistedWrite, type PersistedState, type PersistedWrite} from '@samphiremill/core';
import {List} from 'immutable';
import type {SegmentWrite} from './segment.js';
import type {SegmentWriter} from './segment-writer.js';
import type {ReplicaStore, StoreError, StoreObserver} from './types.js';
import {createWriteRetrier} from './write-retrier.js';

type WriterOptions<Command> = {
	readonly segments: SegmentWriter<Command>;
	readonly persistedState: PersistedState<Command>;
	readonly timers: TimerService;
	readonly observer: StoreObserver;
};

type SettleBatch = (result: Result<void, StoreError>) => void;

/** Writes that are synced together. */
type WriteBatch<Command> = {
	/** Undefined if a snapshot is among the writes. A new segment then holds the whole state, so a long queue needs no memory. */
	readonly writes: List<SegmentWrite<Command>> | undefined;
	/** The state after these writes. */
	readonly persistedState: PersistedState<Command>;
	readonly settled: Promise<Result<void, StoreError>>;
	readonly settle: SettleBatch;
};

const createBatch = <Command>(persistedState: PersistedState<Command>): WriteBatch<Command> => {
	let settle: SettleBatch = () => undefined;
	const settled = new Promise<Result<void, StoreError>>(resolve => {
		settle = resolve;
	});
	return {
		writes: List(), persistedState, settled, settle,
	};
};

const addWrite = <Command>(batch: WriteBatch<Command>, write: PersistedWrite<Command>): WriteBatch<Command> => ({
	...batch,
	writes: write.snapshot === undefined ? batch.writes?.push(write) : undefined,
	persistedState: applyPersistedWrite(batch.persistedState, write),
});

/**
 * Creates the writer of a store. Writes that are queued while the disk is busy become one record with one sync.
 *
 * After a failed append or sync it is unknown what the disk holds, and a later sync of the same file may succeed without
 * the data. So the file is abandoned, and the whole state is written to a new segment, again and again until it is synced.
 */
export function createReplicaWriter<Command>({segments, persistedState, timers, observer}: WriterOptions<Command>): Pick<ReplicaStore<Command>, 'write' | 'close'> {
	let newestState = persistedState;
	let queued: WriteBatch<Command> | undefined;
	let draining: Promise<void> | undefined;
	let isClosing = false;
	let failure: StoreError | undefined;
	const retrier = createWriteRetrier({timers, observer});

	const writeBatch = async ({writes, persistedState: state}: WriteBatch<Command>): Promise<Result<void, StoreError>> => {
		const startSegment = writes === undefined ? segments.prepareSegment(state) : undefined;
		const result = startSegment === undefined ? await segments.append(writes?.toArray() ?? []) : await startSegment();
		if (result.ok) {
			return result;
		}

		await segments.abandonSegment();
		return retrier.retryUntilSynced(result.err, startSegment ?? segments.prepareSegment(state));
	};

	/* eslint-disable no-await-in-loop -- one batch after the other */
	const drain = async () => {
		while (queued !== undefined) {
			const batch = queued;
			queued = undefined;
			const result = failure === undefined ? await writeBatch(batch) : createFailure(failure);
			failure = result.ok ? undefined : result.err;
			batch.settle(result.ok ? createSuccess(undefined) : result);
		}

		draining = undefined;
	};
	/* eslint-enable no-await-in-loop */

	return {
		// eslint-disable-next-line @typescript-eslint/promise-function-async -- an async function would return a promise of its own for each write
		write(write) {
			if (isClosing) {
				return Promise.resolve(createFailure(failure ?? {type: 'store/closed'}));
			}

			const batch = addWrite(queued ?? createBatch(newestState), write);
			queued = batch;
			newestState = batch.persistedState;
			draining ??= drain();
			return batch.settled;
		},
		async close() {
			isClosing = true;
			retrier.end();
			await draining;
			await segments.close();
		},
	};
}
