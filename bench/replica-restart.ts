/**
 * Measures how long the restart of a sole voter takes after a number of changes: it opens the folder, checks every
 * record, elects itself and applies all changes.
 *
 * Run: node bench/dist/replica-restart.js [FOLDER]
 */
import {
	mkdtemp, readdir, rm, stat,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {
	createSeededRandom, toBrand, type DataCentreId, type MonotonicMs, type NodeId, type TimerService,
} from '@samphiremill/common';
import {defaultReplicaLimits} from '@samphiremill/core';
import {createReplicaHost, openReplicaStore} from '@samphiremill/daemon';
import {formatTable} from './statistics.js';

const self = toBrand<NodeId>('v1');
const command = 'x'.repeat(300);

const timers: TimerService = {
	getNow: () => toBrand<MonotonicMs>(performance.now()),
	scheduleOnce(delayMs, callback) {
		const timer = globalThis.setTimeout(callback, delayMs);
		return () => {
			clearTimeout(timer);
		};
	},
	scheduleEvery(periodMs, callback) {
		const timer = setInterval(callback, periodMs);
		return () => {
			clearInterval(timer);
		};
	},
};

const startHost = async (folder: string, snapshotEveryEntries: number) => {
	const startedMs = performance.now();
	const opened = await openReplicaStore<string>({folder, timers});
	if (!opened.ok) {
		throw new Error(JSON.stringify(opened.err));
	}

	const openedMs = performance.now() - startedMs;
	let applied: string[] = [];
	const host = createReplicaHost<string, number>({
		cfg: {
			self,
			nodes: [{node: self, dataCentre: toBrand<DataCentreId>('a'), isInitialVoter: true}],
			limits: {...defaultReplicaLimits, snapshotEveryEntries},
			random: createSeededRandom(1),
		},
		store: opened.value,
		timers,
		processId: String(startedMs),
		send() {
			throw new Error('a sole voter must not send messages');
		},
		applyCommand: change => applied.push(change),
		createSnapshot: () => JSON.stringify(applied),
		installSnapshot(data) {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- written by createSnapshot above
			applied = JSON.parse(data) as string[];
		},
	});
	while (!host.hasLeaderLease() || host.getFreshness() !== 'fresh') {
		await setTimeout(1); // eslint-disable-line no-await-in-loop -- waits until the node serves
	}

	return {
		host,
		store: opened.value,
		openedMs,
		servingMs: performance.now() - startedMs,
		countApplied: () => applied.length,
	};
};

const getFolderBytes = async (folder: string) => {
	const names = await readdir(folder);
	const sizes = await Promise.all(names.map(async name => stat(path.join(folder, name))));
	return sizes.reduce((sum, {size}) => sum + size, 0);
};

const measureRestart = async (folder: string, {changes, snapshotEveryEntries}: {
	readonly changes: number;
	readonly snapshotEveryEntries: number;
}) => {
	const writer = await startHost(folder, snapshotEveryEntries);
	await Promise.all(Array.from({length: changes}, async () => writer.host.propose(command)));
	writer.host.stop();
	await writer.store.close();
	const folderBytes = await getFolderBytes(folder);
	const restarted = await startHost(folder, snapshotEveryEntries);
	if (restarted.countApplied() !== changes) {
		throw new Error(`wrong number of changes after the restart: ${restarted.countApplied()}`);
	}

	restarted.host.stop();
	await restarted.store.close();
	return [changes, snapshotEveryEntries, Math.round(folderBytes / 1024), restarted.openedMs.toFixed(1), restarted.servingMs.toFixed(1)];
};

const folder = await mkdtemp(path.join(process.argv[2] ?? tmpdir(), 'replica-restart-'));
const rows: Array<ReadonlyArray<string | number>> = [['changes', 'snapshot every', 'folder KiB', 'store open ms', 'serving ms']];
for (const [index, changes] of [0, 500, 2000, 4000].entries()) {
	for (const snapshotEveryEntries of [1000, 1_000_000]) {
		// eslint-disable-next-line no-await-in-loop -- concurrent measurements would distort each other
		rows.push(await measureRestart(path.join(folder, `${index}-${snapshotEveryEntries}`), {changes, snapshotEveryEntries}));
	}
}

console.log(formatTable(rows));
await rm(folder, {recursive: true});
