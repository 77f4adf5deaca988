/**
 * Measures the latency and throughput of one entry host, compared with direct calls to the same test minion in the same
 * run, and the memory and processor time of the idle entry host process.
 *
 * Run with `node bench/dist/entry-host.js` after `npm run build`.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {spawn} from 'node:child_process';
import {
	mkdtemp, rm, writeFile, readFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool, request} from 'undici';

const jobCount = 3000;
const warmUpCount = 500;
const concurrency = 8;
const microsecondsPerMs = 1000;
const idleSeconds = 10;

type Target = {
	readonly name: string;
	readonly origin: string;
	readonly getPath: (index: number) => string;
	readonly getHeaders: (index: number) => Record<string, string>;
};

const startTestMinion = async (): Promise<{readonly port: number; readonly close: () => void}> => {
	const server = createServer((req, res) => {
		req.resume();
		req.on('end', () => {
			res.writeHead(200, {'content-type': 'text/plain'});
			res.end('done');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server that listens has this address
	const {port} = server.address() as AddressInfo;
	return {
		port,
		close() {
			server.close();
		},
	};
};

const createHistogram = (): Histogram => build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});

const measureTarget = async (target: Target, count: number, connectionCount: number) => {
	const pool = new Pool(target.origin, {connections: connectionCount});
	const histogram = createHistogram();
	let nextIndex = 0;
	let failed = 0;
	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: connectionCount}, async () => {
		for (let index = nextIndex; index < count; index = nextIndex) {
			nextIndex += 1;
			const sentAtMs = performance.now();
			// eslint-disable-next-line no-await-in-loop -- sequential requests on each connection
			const {statusCode, body} = await pool.request({
				method: 'POST', path: target.getPath(index), headers: target.getHeaders(index), body: '{}',
			});
			await body.dump(); // eslint-disable-line no-await-in-loop -- sequential requests on each connection
			failed += statusCode === 200 ? 0 : 1;
			histogram.recordValue(Math.round((performance.now() - sentAtMs) * microsecondsPerMs));
		}
	}));
	const seconds = (performance.now() - startedAtMs) / 1000;
	await pool.close();
	return {
		name: target.name,
		connectionCount,
		p50Us: histogram.getValueAtPercentile(50),
		p99Us: histogram.getValueAtPercentile(99),
		jobsPerSecond: Math.round(count / seconds),
		failed,
	};
};

const readProcessUsage = async (pid: number) => {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {
		residentKb: Number(/VmRSS:\s+(?<kb>\d+)/v.exec(status)?.groups?.kb),
		cpuTicks: Number(fields[11]) + Number(fields[12]),
	};
};

const waitUntilReady = async (origin: string) => {
	for (let tries = 0; tries < 200; tries += 1) {
		try {
			const {statusCode, body} = await request(`${origin}/v1/ready`); // eslint-disable-line no-await-in-loop -- polls
			await body.dump(); // eslint-disable-line no-await-in-loop -- polls
			if (statusCode === 200) {
				return;
			}
		} catch {
			// The entry host does not listen yet.
		}

		await delay(50); // eslint-disable-line no-await-in-loop -- polls
	}
};

const main = async () => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-bench-'));
	const seedFile = path.join(import.meta.dirname, '..', '..', 'examples', 'seed-records.json');
	const httpPort = 20_000 + Math.floor(Math.random() * 20_000);
	const settingsFile = path.join(folder, 'settings.json');
	await writeFile(settingsFile, JSON.stringify({
		apiVersion: 'samphiremill/settings/v1',
		node: 'entry-1',
		dataCentre: 'recife',
		region: 'nordeste',
		listen: {http: {host: '127.0.0.1', port: httpPort}, peers: {host: '127.0.0.1', port: 0}},
		voters: ['entry-1'],
		dataFolder: path.join(folder, 'data'),
		log: {level: 'warn', format: 'json'},
		clusterSecret: 'a-secret-of-the-bench-cluster-only-here',
		seedRecordsFile: seedFile,
	}));
	const daemonFile = path.join(import.meta.dirname, '..', '..', 'packages', 'daemon', 'dist', 'samphiremilld.mjs');
	const child = spawn(process.execPath, ['--max-semi-space-size=1', daemonFile, '--settings', settingsFile], {stdio: 'inherit'});
	const origin = `http://127.0.0.1:${httpPort}`;
	try {
		await waitUntilReady(origin);
		await delay(2000);
		const usageBefore = await readProcessUsage(child.pid ?? 0);
		await delay(idleSeconds * 1000);
		const usageIdle = await readProcessUsage(child.pid ?? 0);
		const minion = await startTestMinion();
		const announceMinion = async () => request(`${origin}/v1/minions/cloth-counter-1`, {
			method: 'PUT',
			body: JSON.stringify({
				incarnation: 1, worker: 'worker-1', pool: 'cloth-counter', dataCentre: 'recife', host: '127.0.0.1', port: minion.port, slots: 64, connections: 64,
			}),
		}).then(async ({body}) => body.dump());
		await announceMinion();
		const renewalTimer = setInterval(() => {
			void announceMinion();
		}, 1000);
		await delay(1000);
		const directTarget: Target = {
			name: 'direct to the minion', origin: `http://127.0.0.1:${minion.port}`, getPath: index => `/jobs/${index}`, getHeaders: () => ({}),
		};
		const openQueueTarget: Target = {
			name: 'entry host, open queue', origin, getPath: () => '/v1/queues/questions/jobs', getHeaders: () => ({}),
		};
		const keyedQueueTarget: Target = {
			name: 'entry host, key and idempotency key (claim synced to disk)',
			origin,
			getPath: () => '/v1/queues/reservations/jobs',
			getHeaders: index => ({authorization: 'Bearer costa-example-key', 'idempotency-key': `bench-${performance.now()}-${index}`}),
		};
		const results = [];
		for (const target of [directTarget, openQueueTarget, keyedQueueTarget]) {
			for (const connectionCount of [1, concurrency]) {
				await measureTarget(target, warmUpCount, connectionCount); // eslint-disable-line no-await-in-loop -- concurrent measurements would distort each other
				results.push(await measureTarget(target, jobCount, connectionCount)); // eslint-disable-line no-await-in-loop -- concurrent measurements would distort each other
			}
		}

		clearInterval(renewalTimer);
		const usageLoaded = await readProcessUsage(child.pid ?? 0);
		console.log('| path | connections | p50 µs | p99 µs | jobs/s | failed |\n|---|---|---|---|---|---|');
		for (const {name, connectionCount, p50Us, p99Us, jobsPerSecond, failed} of results) {
			console.log(`| ${name} | ${connectionCount} | ${p50Us} | ${p99Us} | ${jobsPerSecond} | ${failed} |`);
		}

		console.log(`\nidle resident memory: ${(usageIdle.residentKb / 1024).toFixed(1)} MB; after the load: ${(usageLoaded.residentKb / 1024).toFixed(1)} MB`);
		console.log(`idle processor time: ${((usageIdle.cpuTicks - usageBefore.cpuTicks) / idleSeconds).toFixed(2)} % of a core over ${idleSeconds} s`);
		minion.close();
	} finally {
		child.kill('SIGTERM');
		await once(child, 'exit');
		await rm(folder, {recursive: true});
	}
};

await main();
