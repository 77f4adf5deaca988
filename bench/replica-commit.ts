/**
 * Measures the commit latency and throughput of the replicated log with its store on a real disk. The voters share one
 * process. Messages cost only their conversion to and from JSON and one turn of the event loop; there is no network.
 *
 * Run: node bench/dist/replica-commit.js [FOLDER]
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {
	createSeededRandom, toBrand, type DataCentreId, type MonotonicMs, type NodeId, type TimerService,
} from '@samphiremill/common';
import {defaultReplicaLimits, type ReplicaMessage} from '@samphiremill/core';
import {
	createReplicaHost, openReplicaStore, storeFileSystem, type ReplicaHost, type ReplicaStore, type StoreFileSystem,
} from '@samphiremill/daemon';
import {formatTable, getQuantile} from './statistics.js';

const sequentialChanges = 500;
const concurrentChanges = 4000;
const concurrency = 64;
const command = 'x'.repeat(300);

type Cluster = {
	readonly hosts: ReadonlyMap<string, ReplicaHost<string, number>>;
	readonly close: () => Promise<void>;
};

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

/** Appends without syncing, to show how much of the latency the disk syncs cause. */
const unsyncedFileSystem: StoreFileSystem = {
	...storeFileSystem,
	async openToAppend(file) {
		const opened = await storeFileSystem.openToAppend(file);
		return {...opened, syncData: async () => undefined};
	},
};

const openStore = async (folder: string, fileSystem: StoreFileSystem): Promise<ReplicaStore<string>> => {
	const opened = await openReplicaStore<string>({folder, fileSystem, timers});
	if (!opened.ok) {
		throw new Error(JSON.stringify(opened.err));
	}

	return opened.value;
};

const startCluster = async (folder: string, {voters, fileSystem}: {
	readonly voters: readonly string[];
	readonly fileSystem: StoreFileSystem;
}): Promise<Cluster> => {
	const names = [...voters, 'observer'];
	const hosts = new Map<string, ReplicaHost<string, number>>();
	const stores: Array<ReplicaStore<string>> = [];
	for (const [index, name] of names.entries()) {
		const store = voters.includes(name) ? await openStore(path.join(folder, name), fileSystem) : undefined; // eslint-disable-line no-await-in-loop -- opens a few stores, once
		if (store !== undefined) {
			stores.push(store);
		}

		let applied = 0;
		hosts.set(name, createReplicaHost<string, number>({
			cfg: {
				self: toBrand<NodeId>(name),
				nodes: names.map(node => ({
					node: toBrand<NodeId>(node), dataCentre: toBrand<DataCentreId>('a'), isInitialVoter: voters.includes(node),
				})),
				limits: defaultReplicaLimits,
				random: createSeededRandom(index + 1),
			},
			...(store !== undefined && {store}),
			timers,
			processId: 'bench',
			send(to, message) {
				const text = JSON.stringify(message);
				setImmediate(() => {
					// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- written on the line above
					hosts.get(to)?.receive(toBrand<NodeId>(name), JSON.parse(text) as ReplicaMessage<string>);
				});
			},
			applyCommand() {
				applied += 1;
				return applied;
			},
			createSnapshot: () => String(applied),
			installSnapshot(data) {
				applied = Number(data);
			},
		}));
	}

	while (![...hosts.values()].some(host => host.hasLeaderLease())) {
		await setTimeout(20); // eslint-disable-line no-await-in-loop -- waits for the first leader
	}

	await setTimeout(1000);
	return {
		hosts,
		async close() {
			for (const host of hosts.values()) {
				host.stop();
			}

			await Promise.all(stores.map(async store => store.close()));
		},
	};
};

const measureProposalMs = async (host: ReplicaHost<string, number>) => {
	const startedMs = performance.now();
	const result = await host.propose(command);
	if (!result.ok) {
		throw new Error(JSON.stringify(result.err));
	}

	return performance.now() - startedMs;
};

const measureSequential = async (host: ReplicaHost<string, number>) => {
	const latenciesMs: number[] = [];
	for (let change = 0; change < sequentialChanges; change += 1) {
		latenciesMs.push(await measureProposalMs(host)); // eslint-disable-line no-await-in-loop -- measures sequential proposals
	}

	return latenciesMs;
};

const measureConcurrent = async (host: ReplicaHost<string, number>) => {
	const startedMs = performance.now();
	let remaining = concurrentChanges;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (remaining > 0) {
			remaining -= 1;
			await measureProposalMs(host); // eslint-disable-line no-await-in-loop -- each caller waits for its answer
		}
	}));
	return (concurrentChanges / (performance.now() - startedMs)) * 1000;
};

const formatMs = (valueMs: number) => valueMs.toFixed(2);

const measureCluster = async (folder: string, {voters, fileSystem, label}: {
	readonly voters: readonly string[];
	readonly fileSystem: StoreFileSystem;
	readonly label: string;
}) => {
	const cluster = await startCluster(folder, {voters, fileSystem});
	const leader = [...cluster.hosts.values()].find(host => host.hasLeaderLease());
	const observer = cluster.hosts.get('observer');
	if (leader === undefined || observer === undefined) {
		throw new Error('the cluster has no leader');
	}

	const leaderLatenciesMs = await measureSequential(leader);
	const observerLatenciesMs = await measureSequential(observer);
	const changesPerSecond = await measureConcurrent(leader);
	await cluster.close();
	return [
		label,
		formatMs(getQuantile(leaderLatenciesMs, 0.5)),
		formatMs(getQuantile(leaderLatenciesMs, 0.99)),
		formatMs(getQuantile(observerLatenciesMs, 0.5)),
		formatMs(getQuantile(observerLatenciesMs, 0.99)),
		Math.round(changesPerSecond),
	];
};

const folder = await mkdtemp(path.join(process.argv[2] ?? tmpdir(), 'replica-commit-'));
const threeVoters = ['v1', 'v2', 'v3'];
const cases = [
	{label: '1 voter, synced', voters: ['v1'], fileSystem: storeFileSystem},
	{label: '3 voters, synced', voters: threeVoters, fileSystem: storeFileSystem},
	{label: '3 voters, not synced', voters: threeVoters, fileSystem: unsyncedFileSystem},
	{label: '5 voters, synced', voters: [...threeVoters, 'v4', 'v5'], fileSystem: storeFileSystem},
];
const rows: Array<ReadonlyArray<string | number>> = [[
	'voters', 'leader p50 ms', 'leader p99 ms', 'observer p50 ms', 'observer p99 ms', `changes/s, ${concurrency} callers`,
]];
for (const [index, options] of cases.entries()) {
	rows.push(await measureCluster(path.join(folder, String(index)), options)); // eslint-disable-line no-await-in-loop -- concurrent measurements would distort each other
}

console.log(formatTable(rows));
await rm(folder, {recursive: true});
