import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	createSeededRandom, createVirtualTimerService, toBrand, type DataCentreId, type NodeId, type VirtualTimerService,
} from '@samphiremill/common';
import {defaultReplicaLimits} from '@samphiremill/core';
import {afterEach, expect, test} from 'vitest';
import {
	createReplicaHost, type ReplicaHost, type ReplicaHostFailure, type ReplicaHostOptions,
} from './replica-host.js';
import {
	openReplicaStore, type ReplicaStore, type StoreFileSystem,
} from './store/index.js';
import {createTestFileSystem} from './store/test-file-system.js';

const self = toBrand<NodeId>('a1');
const folders: string[] = [];
const filesOfFolders = new Map<string, StoreFileSystem>();

afterEach(async () => {
	await Promise.all(folders.splice(0).map(async folder => rm(folder, {recursive: true})));
});

const createFolder = async () => {
	const folder = await mkdtemp(path.join(tmpdir(), 'replica-host-'));
	folders.push(folder);
	return folder;
};

// The files are in memory, so that virtual time does not outrun the disk.
const getFiles = (folder: string): StoreFileSystem => {
	const files = filesOfFolders.get(folder) ?? createTestFileSystem();
	filesOfFolders.set(folder, files);
	return files;
};

const openStore = async (folder: string, fileSystem: StoreFileSystem = getFiles(folder)): Promise<ReplicaStore<string>> => {
	const opened = await openReplicaStore<string>({folder, fileSystem, timers: createVirtualTimerService()});
	if (!opened.ok) {
		throw new Error(JSON.stringify(opened.err));
	}

	return opened.value;
};

const startHost = (store: ReplicaStore<string>, {snapshotEveryEntries = 1000, nodes = [self], timers = createVirtualTimerService(1000), ...callbacks}: {
	readonly snapshotEveryEntries?: number;
	readonly nodes?: readonly NodeId[];
	readonly timers?: VirtualTimerService;
} & Partial<Pick<ReplicaHostOptions<string, number>, 'applyCommand' | 'createSnapshot' | 'onFailure' | 'onRoleChanged'>> = {}) => {
	let applied: string[] = [];
	const host: ReplicaHost<string, number> = createReplicaHost<string, number>({
		cfg: {
			self,
			nodes: nodes.map(node => ({node, dataCentre: toBrand<DataCentreId>('a'), isInitialVoter: true})),
			limits: {...defaultReplicaLimits, snapshotEveryEntries, trailingEntries: 5},
			random: createSeededRandom(1),
		},
		store,
		timers,
		processId: 'p1',
		send() {
			throw new Error('A sole voter must not send messages');
		},
		applyCommand: command => applied.push(command),
		createSnapshot: () => JSON.stringify(applied),
		installSnapshot(data) {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- written above
			applied = JSON.parse(data) as string[];
		},
		...callbacks,
	});
	return {host, timers, getApplied: () => applied};
};

// Disk writes take real time while the clock is virtual, so virtual ticks alternate with turns of the event loop.
const waitForDisk = async (timers: {advance: (durationMs: number) => void}, isSettled: () => boolean) => {
	while (!isSettled()) {
		timers.advance(50);
		// eslint-disable-next-line no-await-in-loop -- waits for the disk
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
};

test('a sole voter returns the outcome of applying a command and recovers all commands after a restart', async () => {
	const folder = await createFolder();
	const store = await openStore(folder);
	const {host, timers, getApplied} = startHost(store, {snapshotEveryEntries: 10});
	await waitForDisk(timers, () => host.hasLeaderLease());
	const commands = Array.from({length: 25}, (_, index) => `c${index}`);
	const results = await Promise.all(commands.map(async command => host.propose(command)));
	expect(results.map(result => result.ok && result.value.outcome)).toEqual(commands.map((_, index) => index + 1));
	expect(host.getFreshness()).toBe('fresh');
	const read = await host.read();
	expect(read.ok).toBe(true);
	host.stop();
	await store.close();

	const reopened = await openStore(folder);
	expect(reopened.storeId).toBe(store.storeId);
	const restarted = startHost(reopened, {snapshotEveryEntries: 10});
	await waitForDisk(restarted.timers, () => restarted.host.hasLeaderLease());
	expect(restarted.getApplied()).toEqual(getApplied());
	restarted.host.stop();
	await reopened.close();
});

const createFillableDisk = () => {
	const files = createTestFileSystem();
	let isFull = false;
	const fileSystem: StoreFileSystem = {
		...files,
		async openToAppend(file) {
			const handle = await files.openToAppend(file);
			return {
				...handle,
				async appendAll(data) {
					await handle.appendAll(isFull ? data.slice(0, 10) : data);
					if (isFull) {
						throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
					}
				},
			};
		},
	};
	return {
		fileSystem,
		setFull(next: boolean) {
			isFull = next;
		},
	};
};

test('while the disk is full nothing is acknowledged, and all goes on by itself once it has room', async () => {
	const folder = await createFolder();
	const disk = createFillableDisk();
	const events: string[] = [];
	const timers = createVirtualTimerService(1000);
	const opened = await openReplicaStore<string>({
		folder,
		timers,
		fileSystem: disk.fileSystem,
		onWritesFailing({err}) {
			events.push(err.type === 'store/io' ? `${err.operation} ${path.basename(err.file)} ${err.code}` : err.type);
		},
		onWritesRecovered({durationMs, tries}) {
			events.push(`recovered after ${tries > 1 && durationMs >= 6000 ? 'some time' : 'no time'}`);
		},
	});
	const store = opened.ok ? opened.value : expect.fail('the store did not open');
	const {host, getApplied} = startHost(store, {timers});
	await waitForDisk(timers, () => host.hasLeaderLease());
	expect(await host.propose('kept')).toMatchObject({ok: true});
	disk.setFull(true);
	const fullSinceMs = timers.getNow();
	const unsettled = Promise.all(['late', 'late too'].map(async command => host.propose(command)));
	await waitForDisk(timers, () => timers.getNow() >= fullSinceMs + 6000);
	// Whether they will be committed is not known, and so it is for those who wait for them.
	expect(await unsettled).toEqual(Array.from({length: 2}, () => ({ok: false, err: {type: 'unknown'}})));
	expect(getApplied()).toEqual(['kept']);
	const later = host.propose('later');
	await waitForDisk(timers, () => timers.getNow() >= fullSinceMs + 12_000);
	expect(await later).toEqual({ok: false, err: {type: 'unknown'}});
	expect(getApplied()).toEqual(['kept']);
	disk.setFull(false);
	const last = host.propose('last');
	await waitForDisk(timers, () => getApplied().includes('last'));
	expect(await last).toMatchObject({ok: true});
	expect(getApplied()).toEqual(['kept', 'late', 'late too', 'later', 'last']);
	expect(events).toEqual(['append segment-000000000001.log ENOSPC', 'recovered after some time']);
	host.stop();
	await store.close();

	const reopened = await openStore(folder, disk.fileSystem);
	const restarted = startHost(reopened);
	await waitForDisk(restarted.timers, () => restarted.host.hasLeaderLease());
	expect(restarted.getApplied()).toEqual(['kept', 'late', 'late too', 'later', 'last']);
	restarted.host.stop();
	await reopened.close();
});

test('a host that is stopped while its disk is full acknowledges nothing, and recovers what was acknowledged before', async () => {
	const folder = await createFolder();
	const disk = createFillableDisk();
	const opened = await openReplicaStore<string>({
		folder,
		timers: createVirtualTimerService(),
		fileSystem: disk.fileSystem,
	});
	const store = opened.ok ? opened.value : expect.fail('the store did not open');
	const {host, timers} = startHost(store);
	await waitForDisk(timers, () => host.hasLeaderLease());
	expect(await host.propose('kept')).toMatchObject({ok: true});
	disk.setFull(true);
	const lost = host.propose('lost');
	host.stop();
	await store.close();
	expect(await lost).toEqual({ok: false, err: {type: 'unknown'}});
	disk.setFull(false);

	const reopened = await openStore(folder, disk.fileSystem);
	const restarted = startHost(reopened);
	await waitForDisk(restarted.timers, () => restarted.host.hasLeaderLease());
	expect(restarted.getApplied()).toEqual(['kept']);
	restarted.host.stop();
	await reopened.close();
});

test('an entry that cannot be applied ends its own proposal, and the replica goes on, now and after a restart', async () => {
	const folder = await createFolder();
	const store = await openStore(folder);
	const failures: ReplicaHostFailure[] = [];
	const applied: string[] = [];
	const options = {
		applyCommand(command: string) {
			if (command === 'bad') {
				throw new RangeError('no such step');
			}

			return applied.push(command);
		},
		onFailure(failure: ReplicaHostFailure) {
			failures.push(failure);
		},
	};
	const {host, timers} = startHost(store, options);
	await waitForDisk(timers, () => host.hasLeaderLease());
	expect(await Promise.all(['before', 'bad', 'after'].map(async command => host.propose(command)))).toMatchObject([
		{ok: true, value: {outcome: 1, hasFailed: false}},
		{ok: true, value: {outcome: undefined, hasFailed: true}},
		{ok: true, value: {outcome: 2, hasFailed: false}},
	]);
	expect(failures).toMatchObject([{activity: 'replica/apply', index: 4}]);
	host.stop();
	await store.close();

	const reopened = await openStore(folder);
	const restarted = startHost(reopened, options);
	await waitForDisk(restarted.timers, () => restarted.host.hasLeaderLease());
	expect(applied).toEqual(['before', 'after', 'before', 'after']);
	restarted.host.stop();
	await reopened.close();
});

test('errors of the callbacks that report a role or create a snapshot do not stop the replica', async () => {
	const store = await openStore(await createFolder());
	let hasSnapshotError = true;
	const activities = new Set<string>();
	const {host, timers} = startHost(store, {
		snapshotEveryEntries: 3,
		createSnapshot() {
			if (hasSnapshotError) {
				throw new Error('not serialisable');
			}

			return '[]';
		},
		onRoleChanged() {
			throw new Error('role');
		},
		onFailure({activity}) {
			activities.add(activity);
		},
	});
	await waitForDisk(timers, () => host.hasLeaderLease());
	const results = await Promise.all(['a', 'b', 'c', 'd'].map(async command => host.propose(command)));
	expect(results.map(({ok}) => ok)).toEqual([true, true, true, true]);
	expect([...activities].toSorted()).toEqual(['replica/roleChanged', 'replica/takeSnapshot']);
	hasSnapshotError = false;
	await waitForDisk(timers, () => host.getState().snapshot !== undefined);
	host.stop();
	await store.close();
});

test('an error while sending a message does not stop the replica', async () => {
	const store = await openStore(await createFolder());
	const activities = new Set<string>();
	const {host, timers} = startHost(store, {
		nodes: [self, toBrand<NodeId>('b1')],
		onFailure({activity}) {
			activities.add(activity);
		},
	});
	const unanswered = host.propose('x');
	await waitForDisk(timers, () => timers.getNow() > 8000);
	expect(await unanswered).toEqual({ok: false, err: {type: 'notProposed', reason: 'noLeader'}});
	expect([...activities]).toEqual(['peer/send']);
	host.stop();
	await store.close();
});
