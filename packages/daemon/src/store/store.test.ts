import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import fc from 'fast-check';
import {createVirtualTimerService, toBrand} from '@samphiremill/common';
import type {
	LogEntry, PersistedWrite, RequestId, StoreId, RecoveredReplica,
} from '@samphiremill/core';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {openReplicaStore} from './open-replica-store.js';
import {storeFileSystem} from './store-file-system.js';
import {createTestFileSystem, type TestFileSystem} from './test-file-system.js';
import type {
	ReplicaStore, StoreError, StoreFileSystem, StoreObserver,
} from './types.js';

let folder = '';

beforeEach(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'replica-store-'));
});

afterEach(async () => {
	await rm(folder, {recursive: true});
});

const createEntry = (index: number): LogEntry<string> => ({
	index, term: 1, payload: {type: 'command', requestId: toBrand<RequestId>(`r${index}`), command: `c${index}`},
});

const createWrite = (index: number, term = 1): PersistedWrite<string> => ({hardState: {term}, entries: [createEntry(index)]});

const createSnapshotWrite = (index: number, term = 1): PersistedWrite<string> => ({
	hardState: {term},
	entries: [],
	snapshot: {
		index, term: 1, voters: [], clusterId: toBrand<StoreId>('cluster'), requests: [], data: `state at ${index}`,
	},
	firstIndex: index,
});

const open = async (fileSystem: TestFileSystem, observer: StoreObserver = {}) => openReplicaStore<string>({
	folder, fileSystem, timers: createVirtualTimerService(), ...observer,
});

const openOrThrow = async (fileSystem: TestFileSystem): Promise<ReplicaStore<string>> => {
	const opened = await open(fileSystem);
	if (!opened.ok) {
		throw new Error(JSON.stringify(opened.err));
	}

	return opened.value;
};

const getLastIndex = ({entries, snapshot}: RecoveredReplica<string>) => entries.at(-1)?.index ?? snapshot?.index ?? 0;

const getLastRecovered = (store: ReplicaStore<string>) => getLastIndex(store.takeRecovered());

// Makes eleven writes one after the other, with a snapshot after the fourth and the eighth. Returns the last acknowledged index.
const writeWithSnapshots = async (store: ReplicaStore<string>) => {
	let acknowledged = 0;
	for (let index = 1; index <= 11; index += 1) {
		const writes = index % 4 === 0 ? [createWrite(index), createSnapshotWrite(index)] : [createWrite(index)];
		// eslint-disable-next-line no-await-in-loop -- each write must become a record of its own
		const results = await Promise.all(writes.map(async write => store.write(write)));
		acknowledged = results[0]?.ok === true ? index : acknowledged;
	}

	return acknowledged;
};

// Resolves when writes begin to fail.
const createFailureSignal = () => {
	const observer: {onWritesFailing?: () => void} = {};
	const promise = new Promise<void>(resolve => {
		observer.onWritesFailing = resolve;
	});
	return {promise, observer};
};

test('a crash at any operation loses no acknowledged write', async () => {
	const counted = createTestFileSystem();
	const faultless = await openOrThrow(counted);
	expect(await writeWithSnapshots(faultless)).toBe(11);
	await faultless.close();
	const total = counted.countOperations();
	for (let operation = 1; operation <= total; operation += 1) {
		for (const keptShare of [0, 0.6, 1]) {
			const fileSystem = createTestFileSystem();
			fileSystem.failOperations({from: operation, err: Object.assign(new Error('crash'), {code: 'CRASH'})});
			/* eslint-disable no-await-in-loop -- one crash after the other */
			const {promise: failed, observer} = createFailureSignal();
			const opened = await open(fileSystem, observer);
			let acknowledged = 0;
			if (opened.ok) {
				const writing = writeWithSnapshots(opened.value);
				await Promise.race([writing, failed]);
				await opened.value.close();
				acknowledged = await writing;
			}

			fileSystem.crash(keptShare);
			const store = await openOrThrow(fileSystem);
			/* eslint-enable no-await-in-loop */
			const recovered = store.takeRecovered();
			expect(getLastIndex(recovered), `operation ${operation}`).toBeGreaterThanOrEqual(acknowledged);
			expect(recovered.entries.map(({index}) => index).every((index, position, all) => position === 0 || index === (all[position - 1] ?? 0) + 1)).toBe(true);
			await store.close(); // eslint-disable-line no-await-in-loop -- one crash after the other
		}
	}
});

const createFilledFolder = async () => {
	const fileSystem = createTestFileSystem();
	const store = await openOrThrow(fileSystem);
	await writeWithSnapshots(store);
	await store.close();
	const segment = fileSystem.listNames().find(name => name.startsWith('segment-')) ?? '';
	return {fileSystem, segment, bytes: fileSystem.getFile(segment) ?? new Uint8Array()};
};

const getDamagedFile = (err: StoreError) => err.type === 'store/damaged' ? path.basename(err.file) : err.type;

test('a truncated last record is dropped, and the next write follows the last complete record', async () => {
	const {fileSystem, segment, bytes} = await createFilledFolder();
	fileSystem.setFile(segment, bytes.slice(0, -3));
	const store = await openOrThrow(fileSystem);
	expect(getLastRecovered(store)).toBe(10);
	expect(await store.write(createWrite(11))).toEqual({ok: true, value: undefined});
	await store.close();
	const again = await openOrThrow(fileSystem);
	expect(getLastRecovered(again)).toBe(11);
	await again.close();
});

test('unwritten sectors at the end of a segment are dropped', async () => {
	const {fileSystem, segment, bytes} = await createFilledFolder();
	fileSystem.setFile(segment, Uint8Array.from([...bytes, ...new Uint8Array(1024)]));
	const store = await openOrThrow(fileSystem);
	expect(getLastRecovered(store)).toBe(11);
	await store.close();
});

test('opening fails and reports the damaged file if any byte was changed', async () => {
	const {fileSystem, segment, bytes} = await createFilledFolder();
	const snapshot = fileSystem.listNames().find(name => name.startsWith('snapshot-')) ?? '';
	await fc.assert(fc.asyncProperty(
		fc.constantFrom(segment, snapshot, 'identity.json'),
		fc.nat(),
		fc.integer({min: 1, max: 255}),
		async (name, position, change) => {
			const original = fileSystem.getFile(name) ?? new Uint8Array();
			const offset = position % original.length;
			fileSystem.setFile(name, original.map((byte, index) => index === offset ? (byte + change) % 256 : byte));
			const opened = await open(fileSystem);
			fileSystem.setFile(name, original);
			expect(opened.ok ? 'opened' : getDamagedFile(opened.err)).toBe(name);
		},
	), {seed: 5, numRuns: 300});
	expect(fileSystem.getFile(segment)).toEqual(bytes);
});

test('a damaged record in the middle of a segment is reported with its offset', async () => {
	const {fileSystem, segment, bytes} = await createFilledFolder();
	fileSystem.setFile(segment, bytes.map((byte, index) => index === bytes.length - 200 ? byte + 1 : byte));
	const opened = await open(fileSystem);
	expect(opened.ok ? undefined : {...opened.err, file: path.basename('file' in opened.err ? opened.err.file : '')}).toMatchInlineSnapshot(`
		{
		  "file": "segment-000000000011.log",
		  "offset": 347,
		  "reason": "checksum differs in a record that is followed by others",
		  "type": "store/damaged",
		}
	`);
});

test.each(['segment-', 'snapshot-', 'identity'])('opening fails if the %s file of the folder is missing', async prefix => {
	const {fileSystem} = await createFilledFolder();
	const name = fileSystem.listNames().find(other => other.startsWith(prefix)) ?? '';
	await fileSystem.remove(name);
	const opened = await open(fileSystem);
	expect(opened.ok ? 'opened' : opened.err.type).toBe('store/damaged');
});

test('an emptied folder gets a new identity', async () => {
	const first = await openOrThrow(createTestFileSystem());
	await first.close();
	const second = await openOrThrow(createTestFileSystem());
	await second.close();
	expect(second.storeId).not.toBe(first.storeId);
});

test('a locked folder cannot be opened, and only one of several starts replaces a stale lock', async () => {
	const fileSystem = createTestFileSystem();
	const store = await openOrThrow(fileSystem);
	const refused = await open(fileSystem);
	expect(refused.ok ? 'opened' : refused.err).toMatchObject({type: 'store/locked', holder: `process ${process.pid}`});
	await store.close();
	await writeFile(path.join(folder, 'lock'), JSON.stringify({
		pid: process.pid, startTime: '1', processNamespace: '', bootId: 'an earlier boot',
	}));
	const starts = await Promise.all(Array.from({length: 8}, async () => open(fileSystem)));
	const opened = starts.filter(start => start.ok);
	expect(opened.length).toBe(1);
	await Promise.all(opened.map(async start => start.value.close()));
});

// Review of issue 44, case 2: the start read whole segments, so a host that had written more than fits into memory ended at each start.
test('a start reads a segment in parts, however long it is', async () => {
	const command = 'x'.repeat(300_000);
	const written = await openReplicaStore<string>({folder, timers: createVirtualTimerService(), shouldLock: false});
	if (!written.ok) {
		throw new Error(JSON.stringify(written.err));
	}

	for (let index = 1; index <= 20; index += 1) {
		// eslint-disable-next-line no-await-in-loop -- each write becomes a record of its own
		await written.value.write({hardState: {term: 1}, entries: [{index, term: 1, payload: {type: 'command', requestId: toBrand<RequestId>(`r${index}`), command}}]});
	}

	await written.value.close();
	const readBytes: number[] = [];
	const fileSystem: StoreFileSystem = {
		...storeFileSystem,
		async readFile(file) {
			const content = await storeFileSystem.readFile(file);
			readBytes.push(content.length);
			return content;
		},
		async openToRead(file) {
			const reader = await storeFileSystem.openToRead(file);
			return {
				...reader,
				async read(offset, lengthBytes) {
					const part = await reader.read(offset, lengthBytes);
					readBytes.push(part.length);
					return part;
				},
			};
		},
	};
	const opened = await openReplicaStore<string>({
		folder, fileSystem, timers: createVirtualTimerService(), shouldLock: false,
	});
	const recovered = opened.ok ? opened.value.takeRecovered().entries : [];
	expect(recovered.map(({payload}) => payload.type === 'command' ? payload.command.length : 0))
		.toEqual(Array.from({length: 20}, () => command.length));
	expect(Math.max(...readBytes)).toBeLessThan(2_000_000);
	await (opened.ok ? opened.value.close() : undefined);
});
