import {createHash} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSeededRandom, toBrand, type WallClockMs} from '@samphiremill/common';
import {
	createRealTimerService, readSeedCommands, restoreSettings, startDaemon,
} from '@samphiremill/daemon';
import {request} from 'undici';
import {expect, test} from 'vitest';
import {startStandInMinion, type StandInMinion} from './stand-in-minion.js';
import {startStandInPlatform} from './stand-in-platform.js';

const operatorToken = 'operator-token-of-this-test';
const workers = ['worker-1', 'worker-2'];
const pollMs = 100;
const pollLimit = 300;

/** Starts a daemon with one entry host that uses a stand-in platform, and a minion on each worker. */
async function startSession() {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-waves-'));
	const timers = createRealTimerService();
	const minions = new Map<string, StandInMinion>();
	const lines: string[] = [];
	const session = {origin: ''};
	const getWallClock = () => toBrand<WallClockMs>(Date.now());
	const startMinion = async (worker: string, incarnation: number) => {
		minions.set(worker, await startStandInMinion({
			minion: `cloth-counter-${worker}`,
			worker,
			pool: 'cloth-counter',
			dataCentre: 'recife',
			slots: 8,
			connections: 64,
			incarnation,
			host: '127.0.0.1',
			entryHosts: [session.origin],
		}));
	};

	const platform = await startStandInPlatform({
		host: '127.0.0.1',
		port: 0,
		timers,
		hosts: workers,
		rebootMs: 500,
		onRebootStarted(host) {
			void minions.get(host)?.close();
		},
		onRebootFinished(host) {
			void startMinion(host, 2);
		},
	});
	const settings = restoreSettings({
		apiVersion: 'samphiremill/settings/v1',
		node: 'entry-1',
		dataCentre: 'recife',
		region: 'nordeste',
		listen: {http: {host: '127.0.0.1', port: 0}, peers: {host: '127.0.0.1', port: 0}},
		voters: ['entry-1'],
		dataFolder: path.join(folder, 'data'),
		clusterSecret: 'a-secret-of-the-cluster-under-test-only',
		operators: [{name: 'ana', role: 'write', tokenHash: createHash('sha256').update(operatorToken).digest('hex')}],
		platformUrl: platform.url,
	});
	const seeds = await readSeedCommands({file: path.join(import.meta.dirname, 'seed-records.json'), nowMs: getWallClock()});
	if (!settings.ok || !seeds.ok) {
		throw new TypeError(JSON.stringify({settings, seeds}));
	}

	const record = (message: string) => {
		lines.push(message);
	};

	const daemon = await startDaemon({
		settings: settings.value,
		timers,
		random: createSeededRandom(7),
		log: {
			debug: () => undefined, info: record, warn: record, error: record,
		},
		getWallClock,
		seedCommands: seeds.value,
	});
	if (!daemon.ok) {
		throw new TypeError(JSON.stringify(daemon.err));
	}

	session.origin = `http://${daemon.value.httpHost}:${daemon.value.httpPort}`;
	await Promise.all(workers.map(async worker => startMinion(worker, 1)));

	const call = async (method: 'GET' | 'PUT' | 'POST', route: string, document?: unknown) => {
		const {statusCode, body} = await request(`${session.origin}${route}`, {
			method,
			headers: {authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json'},
			...(document !== undefined && {body: JSON.stringify(document)}),
		});
		return {status: statusCode, text: await body.text()};
	};

	const read = async (route: string) => {
		const {text} = await call('GET', route);
		return text;
	};

	return {
		origin: session.origin,
		call,
		read,
		lines,
		platform,
		async close() {
			await daemon.value.stop();
			await Promise.all([...minions.values()].map(async minion => minion.close()));
			await platform.close();
			await rm(folder, {recursive: true});
		},
	};
}

/** Polls until the text satisfies the condition, or `pollLimit` times. Returns the last text. */
async function pollUntil(read: () => Promise<string>, isSatisfied: (text: string) => boolean): Promise<string> {
	let text = '';
	for (let count = 0; count < pollLimit && !isSatisfied(text); count += 1) {
		// eslint-disable-next-line no-await-in-loop -- polls run one at a time
		await delay(pollMs);
		// eslint-disable-next-line no-await-in-loop -- polls run one at a time
		text = await read();
	}

	return text;
}

/** Submits jobs that may run at most once, one at a time, until stopped. Returns the status of each. */
function submitUntilStopped(origin: string) {
	const statuses: number[] = [];
	const session = {isStopped: false};
	const submit = async () => {
		while (!session.isStopped) {
			// eslint-disable-next-line no-await-in-loop -- jobs are submitted one at a time
			const {statusCode, body} = await request(`${origin}/v1/queues/questions/jobs`, {
				method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({question: 'is violet-3 free?'}),
			});
			// Failures before the first success are ignored: the fleet is still starting.
			if (statuses.length > 0 || statusCode === 200) {
				statuses.push(statusCode);
			}

			await body.dump(); // eslint-disable-line no-await-in-loop -- the body must be read before the connection can be reused
		}
	};

	const done = submit();
	return {
		async stop() {
			session.isStopped = true;
			await done;
			return statuses;
		},
	};
}

test('a wave started by an operator on a running daemon reboots each host once and loses no job', async () => {
	const session = await startSession();
	try {
		await pollUntil(
			async () => session.read('/v1/records/pool/cloth-counter'),
			text => text.includes('maximumUnavailableHosts'),
		);
		const written = await pollUntil(async () => {
			const {status, text} = await session.call('PUT', '/v1/records/wave/december', {
				apiVersion: 'samphiremill/v2', kind: 'wave', id: 'december', pools: ['cloth-counter'], desired: 'running', maximumHostsAside: 2,
			});
			return `${status} ${text}`;
		}, text => text.startsWith('2'));
		expect(written).toMatch(/^2\d\d /v);
		const jobs = submitUntilStopped(session.origin);
		const progress = await pollUntil(
			async () => session.read('/v1/waves/december/progress'),
			text => text.includes('"phase":"completed"'),
		);
		const outcomes = await jobs.stop();
		expect(outcomes.length).toBeGreaterThan(10);
		expect(new Set(outcomes)).toEqual(new Set([200]));
		expect(JSON.parse(progress)).toMatchObject({phase: 'completed', hosts: {total: 2, returned: 2, failed: 0}});
		expect(session.platform.getReboots()).toEqual(['worker-1 december:worker-1:1', 'worker-2 december:worker-2:1']);
		expect(session.lines.filter(line => line.startsWith('waves/grantDrain'))).toHaveLength(2);
	} finally {
		await session.close();
	}
});
