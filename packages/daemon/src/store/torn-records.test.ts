import process from 'node:process';
import fc from 'fast-check';
import {createVirtualTimerService, toBrand} from '@samphiremill/common';
import type {PersistedWrite, RequestId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {openReplicaStore} from './open-replica-store.js';
import {createTestFileSystem, type TestFileSystem} from './test-file-system.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 35);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 400);
const segmentName = 'segment-000000000001.log';
const sectorBytes = 512;

const createWrite = (index: number, textBytes: number): PersistedWrite<string> => ({
	hardState: {term: 1},
	entries: [{index, term: 1, payload: {type: 'command', requestId: toBrand<RequestId>(`r${index}`), command: 'x'.repeat(textBytes)}}],
});

const open = async (fileSystem: TestFileSystem) => openReplicaStore<string>({
	folder: '/data', fileSystem, timers: createVirtualTimerService(), shouldLock: false,
});

const openOrFail = async (fileSystem: TestFileSystem) => {
	const opened = await open(fileSystem);
	return opened.ok ? opened.value : expect.fail(JSON.stringify(opened.err));
};

// Returns the folder, the content of its segment, and where its last record starts.
const createFolder = async (sizes: readonly number[]) => {
	const fileSystem = createTestFileSystem();
	const store = await openOrFail(fileSystem);
	const getLength = () => fileSystem.getFile(segmentName)?.length ?? 0;
	let starts: readonly number[] = [];
	for (const [position, size] of sizes.entries()) {
		starts = [...starts, getLength()];
		await store.write(createWrite(position + 1, size)); // eslint-disable-line no-await-in-loop -- each write becomes a record of its own
	}

	await store.close();
	return {fileSystem, starts, bytes: fileSystem.getFile(segmentName) ?? new Uint8Array()};
};

const getLastIndex = async (fileSystem: TestFileSystem) => {
	const store = await openOrFail(fileSystem);
	await store.close();
	return store.takeRecovered().entries.at(-1)?.index ?? 0;
};

const anySizes = fc.array(fc.integer({min: 1, max: 5000}), {minLength: 2, maxLength: 4});

test('after a power loss that tears the last record, the store opens with all earlier records', async () => {
	await fc.assert(fc.asyncProperty(
		anySizes,
		fc.oneof(
			fc.record({
				type: fc.constant('missing' as const), share: fc.double({
					min: 0, max: 1, maxExcluded: true, noNaN: true,
				}),
			}),
			fc.record({
				type: fc.constant('prefix' as const), share: fc.double({
					min: 0, max: 1, maxExcluded: true, noNaN: true,
				}),
			}),
			fc.record({
				type: fc.constant('suffix' as const), share: fc.double({
					min: 0, max: 1, maxExcluded: true, noNaN: true,
				}),
			}),
			fc.record({
				type: fc.constant('parts' as const), partBytes: fc.constantFrom(sectorBytes, 4096), kept: fc.infiniteStream(fc.boolean()), trailingBytes: fc.constantFrom(0, 700),
			}),
			fc.record({
				type: fc.constant('sector' as const), position: fc.nat(), keptBytes: fc.integer({min: 0, max: sectorBytes - 1}), isPrefix: fc.boolean(),
			}),
		),
		async (sizes, tear) => {
			const {fileSystem, starts, bytes} = await createFolder(sizes);
			const start = starts.at(-1) ?? 0;
			const length = bytes.length - start;
			const clear = (isLost: (offset: number) => boolean) => bytes.map((byte, offset) => offset >= start && isLost(offset) ? 0 : byte);
			let torn = bytes;
			switch (tear.type) {
				case 'missing': {
					torn = bytes.slice(0, start + Math.floor(length * tear.share));
					break;
				}

				case 'prefix': {
					torn = clear(offset => offset >= start + Math.floor(length * tear.share));
					break;
				}

				case 'suffix': {
					torn = clear(offset => offset < bytes.length - Math.floor(length * tear.share));
					break;
				}

				case 'parts': {
					const firstPart = Math.floor(start / tear.partBytes);
					const kept = [...tear.kept.take(Math.floor(bytes.length / tear.partBytes) - firstPart + 1)];
					torn = Uint8Array.from([...clear(offset => kept[Math.floor(offset / tear.partBytes) - firstPart] === false), ...new Uint8Array(tear.trailingBytes)]);
					break;
				}

				case 'sector': {
					const sectorStart = (Math.floor((start + (tear.position % length)) / sectorBytes)) * sectorBytes;
					torn = clear(offset => offset >= sectorStart && offset < sectorStart + sectorBytes && (offset < sectorStart + tear.keptBytes) !== tear.isPrefix);
					break;
				}
			}

			fileSystem.setFile(segmentName, torn);
			// A tear may leave out nothing, or only bytes that are zero in the record, too.
			const isWhole = bytes.every((byte, offset) => torn[offset] === byte);
			expect(await getLastIndex(fileSystem)).toBe(isWhole ? sizes.length : sizes.length - 1);
		},
	), {seed, numRuns: numberRuns});
});

test('damage to any byte of a record that is followed by another is reported', async () => {
	await fc.assert(fc.asyncProperty(
		anySizes,
		fc.nat(),
		fc.oneof(fc.constant(0), fc.integer({min: 0, max: 255})),
		fc.constantFrom(1, 2, 8, 40, 600),
		async (sizes, position, value, countBytes) => {
			const {fileSystem, starts, bytes} = await createFolder(sizes);
			const end = starts.at(-1) ?? 0;
			const from = position % end;
			const damaged = bytes.map((byte, offset) => offset >= from && offset < Math.min(end, from + countBytes) ? value : byte);
			fc.pre(damaged.some((byte, offset) => byte !== bytes[offset]));
			fileSystem.setFile(segmentName, damaged);
			const opened = await open(fileSystem);
			expect(opened.ok ? 'opened' : opened.err.type).toBe('store/damaged');
		},
	), {seed, numRuns: numberRuns});
});

test('a changed byte of the last record that no tear explains is reported', async () => {
	await fc.assert(fc.asyncProperty(anySizes, fc.nat(), fc.integer({min: 1, max: 255}), async (sizes, position, change) => {
		const {fileSystem, starts, bytes} = await createFolder(sizes);
		const start = starts.at(-1) ?? 0;
		const changed = start + (position % (bytes.length - start));
		const damaged = bytes.map((byte, offset) => offset === changed ? (byte + change) % 256 : byte);
		fc.pre(damaged[changed] !== 0);
		fileSystem.setFile(segmentName, damaged);
		const opened = await open(fileSystem);
		expect(opened.ok ? 'opened' : opened.err.type).toBe('store/damaged');
	}), {seed, numRuns: numberRuns});
});
