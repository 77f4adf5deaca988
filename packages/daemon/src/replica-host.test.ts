import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	createSeededRandom, createVirtualTimerService, toBrand, type DataCentreId, type NodeId,
} from '@samphiremill/common';
import {defaultReplicaLimits} from '@samphiremill/core';
import {afterEach, expect, test} from 'vitest';
import {
	createReplicaHost, type ReplicaHost, type ReplicaHostFailure, type ReplicaHostOptions,
} from './replica-host.js';
import {openReplicaStore, storeFileSystem, type ReplicaStore} from './store/index.js';

const self = toBrand<NodeId>('a1');
const folders: string[] = [];

afterEach(async () => {
	await Promise.all(folders.splice(0).map(async folder => rm(folder, {recursive: true})));
});

const createFolder = async () => {
	const folder = await mkdtemp(path.join(tmpdir(), 'replica-host-'));
	folders.push(folder);
	return folder;
};

const openStore = async (folder: string): Promise<ReplicaStore<string>> => {
	const opened = await openReplicaStore<string>({folder});
	if (!opened.ok) {
		throw new Error(JSON.stringify(opened.err));
	}

	return opened.value;
};

const startHost = (store: ReplicaStore<string>, {snapshotEveryEntries = 1000, nodes = [self], ...callbacks}: {
	readonly snapshotEveryEntries?: number;
	readonly nodes?: readonly NodeId[];
} & Partial<Pick<ReplicaHostOptions<string, number>, 'applyCommand' | 'createSnapshot' | 'onFailure' | 'onRoleChanged' | 'onStoreFailed'>> = {}) => {
	const timers = createVirtualTimerService(1000);
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

test('after a disk-full error nothing is acknowledged, and a restart recovers what was acknowledged before', async () => {
	const folder = await createFolder();
	let isFull = false;
	const opened = await openReplicaStore<string>({
		folder,
		fileSystem: {
			...storeFileSystem,
			async openToAppend(file) {
				const handle = await storeFileSystem.openToAppend(file);
				return {
					...handle,
					async appendAll(data) {
						if (isFull) {
							throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
						}

						await handle.appendAll(data);
					},
				};
			},
		},
	});
	const store = opened.ok ? opened.value : expect.fail('the store did not open');
	let failures = 0;
	const {host, timers} = startHost(store, {
		onStoreFailed() {
			failures += 1;
		},
	});
	await waitForDisk(timers, () => host.hasLeaderLease());
	expect(await host.propose('kept')).toMatchObject({ok: true});
	isFull = true;
	const unsettled = Promise.all(['lost', 'lost too'].map(async command => host.propose(command)));
	await waitForDisk(timers, () => failures > 0);
	expect(host.hasLeaderLease()).toBe(false);
	timers.advance(6000);
	expect(await unsettled).toEqual(Array.from({length: 2}, () => ({ok: false, err: {type: 'unknown'}})));
	const later = host.propose('later');
	timers.advance(6000);
	expect(await later).toEqual({ok: false, err: {type: 'notProposed', reason: 'storageFailed'}});
	expect(failures).toBe(1);
	host.stop();
	await store.close();

	const reopened = await openStore(folder);
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
