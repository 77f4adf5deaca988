import path from 'node:path';
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import fc from 'fast-check';
import {createVirtualTimerService, toBrand} from '@samphiremill/common';
import type {PersistedWrite, RequestId, StoreId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {openReplicaStore} from './open-replica-store.js';
import {createTestFileSystem, type TestFailure, type TestFileSystem} from './test-file-system.js';
import type {ReplicaStore, WritesFailing, WritesRecovered} from './types.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 35);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 400);
const lastIndex = 11;
const noSpace = Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
const folder = '/data';

const createWrite = (index: number): PersistedWrite<string> => ({
	hardState: {term: index},
	entries: [{index, term: 1, payload: {type: 'command', requestId: toBrand<RequestId>(`r${index}`), command: `c${index}`}}],
});

const createSnapshotWrite = (index: number): PersistedWrite<string> => ({
	hardState: {term: index},
	entries: [],
	snapshot: {
		index, term: 1, voters: [], clusterId: toBrand<StoreId>('cluster'), requests: [], data: `state at ${index}`,
	},
	firstIndex: index,
});

const startStore = async (fileSystem: TestFileSystem) => {
	const timers = createVirtualTimerService();
	const failing: WritesFailing[] = [];
	const recovered: WritesRecovered[] = [];
	const opened = await openReplicaStore<string>({
		folder,
		fileSystem,
		timers,
		shouldLock: false,
		onWritesFailing(event) {
			failing.push(event);
		},
		onWritesRecovered(event) {
			recovered.push(event);
		},
	});
	const store = opened.ok ? opened.value : expect.fail(JSON.stringify(opened.err));
	// The files are in memory, so one turn of the event loop completes all operations that need no timer.
	const pass = async (durationMs: number, isDone = () => false) => {
		await setImmediate();
		for (let passedMs = 0; passedMs < durationMs && !isDone(); passedMs += 50) {
			timers.advance(50);
			await setImmediate(); // eslint-disable-line no-await-in-loop -- time passes in steps
		}
	};

	return {
		store, pass, failing, recovered,
	};
};

// Writes eleven entries in groups, with a snapshot after the fourth and the eighth. Returns the indexes in the order of their
// acknowledgement, which grows while the writes are made.
const startWrites = (store: ReplicaStore<string>, groupSize: number) => {
	const acknowledged: number[] = [];
	const writeOne = async (index: number) => {
		const results = await Promise.all([
			store.write(createWrite(index)),
			...(index % 4 === 0 ? [store.write(createSnapshotWrite(index))] : []),
		]);
		if (results.every(({ok}) => ok)) {
			acknowledged.push(index);
		}
	};

	const writeAll = async () => {
		for (let first = 1; first <= lastIndex; first += groupSize) {
			const group = Array.from({length: Math.min(groupSize, lastIndex + 1 - first)}, (_, offset) => first + offset);
			await Promise.all(group.map(async index => writeOne(index))); // eslint-disable-line no-await-in-loop -- one group after the other
		}
	};

	void writeAll();
	return acknowledged;
};

const listIndexes = (count: number) => Array.from({length: count}, (_, offset) => offset + 1);

// Opens the folder again, and returns the last index that it holds. Everything up to it must be there.
const recover = async (fileSystem: TestFileSystem) => {
	const {store} = await startStore(fileSystem);
	const {hardState, snapshot, entries} = store.takeRecovered();
	const firstEntry = entries[0]?.index ?? (snapshot?.index ?? 0) + 1;
	const last = entries.at(-1)?.index ?? snapshot?.index ?? 0;
	expect(firstEntry).toBeLessThanOrEqual((snapshot?.index ?? 0) + 1);
	expect(entries.map(({index, payload}) => [index, payload.type === 'command' && payload.command]))
		.toEqual(entries.map((_, offset) => [firstEntry + offset, `c${firstEntry + offset}`]));
	expect(snapshot?.data).toBe(snapshot === undefined ? undefined : `state at ${snapshot.index}`);
	expect(hardState.term).toBe(last);
	const expectedNames = ['identity.json', 'segment-', ...(snapshot === undefined ? [] : ['snapshot-'])];
	expect(fileSystem.listNames().map(name => name.replace(/-.*/v, '-'))).toEqual(expectedNames);
	await store.close();
	return last;
};

const countFaultlessOperations = async (groupSize: number) => {
	const fileSystem = createTestFileSystem();
	const {store, pass} = await startStore(fileSystem);
	const opened = fileSystem.countOperations();
	const acknowledged = startWrites(store, groupSize);
	await pass(1000);
	expect(acknowledged).toEqual(listIndexes(lastIndex));
	await store.close();
	return {opened, total: fileSystem.countOperations()};
};

test('whichever operation fails, and however often, all writes are acknowledged in order and recovered', async () => {
	/* eslint-disable no-await-in-loop -- one run after the other */
	const {opened, total} = await countFaultlessOperations(1);
	for (let from = opened + 1; from < total; from += 1) {
		for (const count of [1, 2, 3, 4, 7, 12, 60]) {
			for (const losesUnsynced of [false, true]) {
				const fileSystem = createTestFileSystem();
				const {store, pass, failing, recovered} = await startStore(fileSystem);
				fileSystem.failOperations({
					from, count, err: noSpace, losesUnsynced,
				});
				const acknowledged = startWrites(store, 1);
				await pass(8000, () => acknowledged.length === lastIndex);
				expect(acknowledged, `operations ${from} to ${from + count - 1}`).toEqual(listIndexes(lastIndex));
				expect(recovered.map(({sinceMs}) => sinceMs)).toEqual(failing.map(({sinceMs}) => sinceMs));
				await store.close();
				fileSystem.crash(0);
				expect(await recover(fileSystem)).toBe(lastIndex);
			}
		}
	}
	/* eslint-enable no-await-in-loop */
});

const anyGroupSize = fc.constantFrom(1, 2, 3, 5, lastIndex);
const anyFailure = fc.record({from: fc.nat(80), count: fc.integer({min: 1, max: 40}), losesUnsynced: fc.boolean()});

test('a crash at any moment, also while writes fail, loses nothing that was acknowledged', async () => {
	let crashesWhileFailing = 0;
	await fc.assert(fc.asyncProperty(
		fc.record({
			groupSize: anyGroupSize,
			failures: fc.array(anyFailure, {minLength: 1, maxLength: 3}),
			crashFrom: fc.nat(160),
			keptShare: fc.constantFrom(0, 0.3, 0.6, 1),
			keptNames: fc.nat(255),
		}),
		async ({groupSize, failures, crashFrom, keptShare, keptNames}) => {
			const fileSystem = createTestFileSystem();
			const {store, pass, failing, recovered} = await startStore(fileSystem);
			const opened = fileSystem.countOperations();
			const laterFailures = failures.map(({from, ...rest}): TestFailure => ({...rest, from: opened + 1 + from, err: noSpace}));
			fileSystem.failOperations(...laterFailures, {from: opened + 1 + crashFrom, err: noSpace});
			const acknowledged = startWrites(store, groupSize);
			await pass(5000, () => acknowledged.length === lastIndex);
			expect(acknowledged).toEqual(listIndexes(acknowledged.length));
			crashesWhileFailing += failing.length > recovered.length ? 1 : 0;
			const acknowledgedBefore = acknowledged.length;
			await store.close();
			await setImmediate();
			expect(acknowledged.length).toBe(acknowledgedBefore);
			fileSystem.crash(keptShare, name => (keptNames >> (name.length + name.charCodeAt(name.length - 5)) % 8) % 2 === 1); // eslint-disable-line no-bitwise, unicorn/prefer-code-point -- picks some names
			expect(await recover(fileSystem)).toBeGreaterThanOrEqual(acknowledgedBefore);
		},
	), {seed, numRuns: numberRuns});
	expect(crashesWhileFailing).toBeGreaterThan(numberRuns / 4);
});

test.each(['append', 'sync'] as const)('after a failed %s nothing is acknowledged before all of it is synced in a new segment', async operation => {
	const fileSystem = createTestFileSystem();
	const {store, pass, failing, recovered} = await startStore(fileSystem);
	expect(await store.write(createWrite(1))).toEqual({ok: true, value: undefined});
	const from = fileSystem.countOperations() + (operation === 'append' ? 1 : 2);
	fileSystem.failOperations({from, err: noSpace, losesUnsynced: true});
	let settledCount = 0;
	const results = [2, 3, 4].map(async index => {
		const result = await store.write(createWrite(index));
		settledCount += 1;
		return result;
	});
	await pass(10_000);
	expect(settledCount).toBe(0);
	fileSystem.endFailure();
	await pass(100);
	expect(await Promise.all(results)).toEqual(results.map(() => ({ok: true, value: undefined})));
	expect(failing).toEqual([{
		err: {
			type: 'store/io', file: path.join(folder, 'segment-000000000001.log'), operation, code: 'ENOSPC',
		},
		sinceMs: 0,
	}]);
	expect(recovered).toEqual([{sinceMs: 0, durationMs: 10_100, tries: 101}]);
	expect(fileSystem.listNames()).toEqual(['identity.json', 'segment-000000000003.log']);
	await store.close();
	fileSystem.crash(0);
	expect(await recover(fileSystem)).toBe(4);
});

test('a full disk is not filled further by the tries, and a long queue of snapshots is written once', async () => {
	const fileSystem = createTestFileSystem();
	let isFull = false;
	const {store, pass} = await startStore({
		...fileSystem,
		async openToAppend(file) {
			const opened = await fileSystem.openToAppend(file);
			return {
				...opened,
				async appendAll(data) {
					await opened.appendAll(isFull ? data.slice(0, 5) : data);
					if (isFull) {
						throw noSpace;
					}
				},
			};
		},
	});
	await store.write(createWrite(1));
	const getSizes = () => fileSystem.listNames().map(name => [name, fileSystem.getFile(name)?.length]);
	const sizesBefore = getSizes();
	isFull = true;
	const results = [store.write(createWrite(2))];
	for (let index = 3; index <= 40; index += 1) {
		results.push(store.write(createWrite(index)), store.write(createSnapshotWrite(index)));
	}

	await pass(5000);
	expect(getSizes()).toEqual(sizesBefore);
	// All that waits shares one promise, however much it is.
	expect(new Set(results).size).toBe(2);
	isFull = false;
	await pass(100);
	expect(await Promise.all(results)).toEqual(results.map(() => ({ok: true, value: undefined})));
	expect(fileSystem.listNames().filter(name => name.startsWith('snapshot-'))).toEqual(['snapshot-000000000040.json']);
	await store.close();
	expect(await recover(fileSystem)).toBe(40);
});

test('closing the store while its disk is full ends at once, and acknowledges nothing', async () => {
	const fileSystem = createTestFileSystem();
	const {store, pass} = await startStore(fileSystem);
	await store.write(createWrite(1));
	fileSystem.failOperations({from: fileSystem.countOperations() + 1, err: noSpace});
	const results = [2, 3].map(async index => store.write(createWrite(index)));
	await pass(1000);
	await store.close();
	expect(await Promise.all([...results, store.write(createWrite(4))])).toEqual(Array.from({length: 3}, () => ({
		ok: false,
		err: {
			type: 'store/io', file: path.join(folder, 'segment-000000000001.log'), operation: 'append', code: 'ENOSPC',
		},
	})));
	fileSystem.crash(1);
	expect(await recover(fileSystem)).toBe(1);
});
