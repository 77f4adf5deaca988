/**
 * The embedded example: one entry host, a stand-in minion on each of two workers, and a few jobs from
 * two teams. Everything runs in this process and prints its progress.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {toBrand, type WallClockMs} from '@samphiremill/common';
import {
	createLog, createRealTimerService, readSeedCommands, restoreSettings, startDaemon,
} from '@samphiremill/daemon';
import {request} from 'undici';
import {startStandInMinion} from './stand-in-minion.js';

const readyPollMs = 50;
const readyTimeoutMs = 10_000;
const printLine = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const waitUntilReady = async (origin: string): Promise<void> => {
	const deadlineMs = Date.now() + readyTimeoutMs;
	while (Date.now() < deadlineMs) {
		// eslint-disable-next-line no-await-in-loop -- polls until the entry host is ready
		const {statusCode, body} = await request(`${origin}/v1/ready`);
		await body.dump(); // eslint-disable-line no-await-in-loop -- the body must be read before the connection can be reused
		if (statusCode === 200) {
			return;
		}

		await delay(readyPollMs); // eslint-disable-line no-await-in-loop -- polls until the entry host is ready
	}

	throw new Error(`${origin} was not ready within ${readyTimeoutMs} ms`);
};

const submit = async ({origin, queue, secret, idempotencyKey, document}: {
	readonly origin: string;
	readonly queue: string;
	readonly secret?: string;
	readonly idempotencyKey?: string;
	readonly document: unknown;
}) => {
	const {statusCode, headers, body} = await request(`${origin}/v1/queues/${queue}/jobs`, {
		method: 'POST',
		headers: {
			'content-type': 'application/json',
			'samphiremill-deadline-ms': '5000',
			...(secret === undefined ? {} : {authorization: `Bearer ${secret}`}),
			...(idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey}),
		},
		body: JSON.stringify(document),
	});
	const replayed = headers['samphiremill-replayed'] === 'true' ? ' (replayed)' : '';
	printLine(`  ${statusCode}${replayed} ${await body.text()}`);
};

const main = async () => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-'));
	const settings = restoreSettings({
		apiVersion: 'samphiremill/settings/v1',
		node: 'entry-1',
		dataCentre: 'recife',
		region: 'nordeste',
		listen: {http: {host: '127.0.0.1', port: 0}, peers: {host: '127.0.0.1', port: 0}},
		voters: ['entry-1'],
		dataFolder: path.join(folder, 'data'),
		log: {level: 'info', format: 'json'},
		clusterSecret: 'an-example-secret-of-this-cluster-only',
	});
	if (!settings.ok) {
		throw new TypeError(JSON.stringify(settings.err));
	}

	const getWallClock = () => toBrand<WallClockMs>(Date.now());
	const seeds = await readSeedCommands({
		file: path.join(import.meta.dirname, '..', 'seed-records.json'), nowMs: getWallClock(),
	});
	if (!seeds.ok) {
		throw new TypeError(JSON.stringify(seeds.err));
	}

	const daemon = await startDaemon({
		settings: settings.value,
		timers: createRealTimerService(),
		random: Math.random,
		log: createLog({settings: settings.value.log, node: 'entry-1'}),
		getWallClock,
		seedCommands: seeds.value,
	});
	if (!daemon.ok) {
		throw new TypeError(JSON.stringify(daemon.err));
	}

	const origin = `http://${daemon.value.httpHost}:${daemon.value.httpPort}`;
	await waitUntilReady(origin);
	const minions = await Promise.all([1, 2].map(async number => startStandInMinion({
		minion: `cloth-counter-${number}`,
		worker: `worker-${number}`,
		pool: 'cloth-counter',
		dataCentre: 'recife',
		slots: 8,
		connections: 64,
		incarnation: 1,
		host: '127.0.0.1',
		entryHosts: [origin],
	})));
	await delay(500);

	printLine('A reservation by the team sertao, and the same request sent again:');
	const reservation = {cloth: 'violet-3', wake: '2026-12-05T18:00Z'};
	const sent = {
		origin, queue: 'reservations', secret: 'sertao-example-key', idempotencyKey: 'reservation-17', document: reservation,
	};
	await submit(sent);
	await submit(sent);
	printLine('The same idempotency key with a different body:');
	await submit({...sent, document: {cloth: 'black-1'}});
	printLine('A request with a key that was not granted:');
	await submit({...sent, secret: 'not-a-key'});
	printLine('A question to the queue that needs no key:');
	await submit({origin, queue: 'questions', document: {question: 'is violet-3 free?'}});
	printLine(`Number of jobs that each minion ran: ${minions.map(minion => minion.getRuns().length).join(', ')}`);

	await Promise.all(minions.map(async minion => minion.leave()));
	await daemon.value.stop();
	await Promise.all(minions.map(async minion => minion.close()));
	await rm(folder, {recursive: true});
};

await main();
