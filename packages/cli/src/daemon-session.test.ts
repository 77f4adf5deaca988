/** Runs the command line against a running daemon, over HTTP on the loopback interface. */
import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {toBrand, type WallClockMs} from '@samphiremill/common';
import {
	createRealTimerService, restoreSettings, startDaemon, type Daemon,
} from '@samphiremill/daemon';
import {afterEach, expect, test} from 'vitest';
import {createIo} from './create-io.js';
import {runCli} from './program.js';

const token = 'token-of-ana';
const closedEndpoint = 'http://127.0.0.1:1';
const cleanups: Array<() => Promise<void>> = [];
const ignore = () => undefined;

afterEach(async () => {
	for (const close of cleanups.splice(0).toReversed()) {
		// eslint-disable-next-line no-await-in-loop -- the daemon must stop before its folder is deleted
		await close();
	}
});

async function createFolder(): Promise<string> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-cli-'));
	cleanups.push(async () => rm(folder, {recursive: true, force: true}));
	return folder;
}

async function startHost(folder: string): Promise<Daemon> {
	const address = {host: '127.0.0.1', port: 0};
	const settings = restoreSettings({
		apiVersion: 'samphiremill/settings/v1',
		node: 'node-1',
		dataCentre: 'recife',
		region: 'nordeste',
		listen: {http: address, peers: address},
		voters: ['node-1'],
		dataFolder: path.join(folder, 'data'),
		clusterSecret: 'a cluster secret for tests, no more',
		operators: [{name: 'ana', role: 'write', tokenHash: createHash('sha256').update(token).digest('hex')}],
	});
	if (!settings.ok) {
		throw new Error(JSON.stringify(settings.err));
	}

	const started = await startDaemon({
		settings: settings.value,
		timers: createRealTimerService(),
		random: Math.random,
		log: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		},
		getWallClock: () => toBrand<WallClockMs>(Date.now()),
		seedCommands: [],
	});
	if (!started.ok) {
		throw new Error(JSON.stringify(started.err));
	}

	return started.value;
}

/** Masks what differs between runs: times, change ids, secrets and the width of columns. */
function mask(text: string): string {
	return text
		.replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/gv, 'TIME')
		.replaceAll(/[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}/gv, 'CHANGE-ID')
		.replaceAll(/smk_[\w\-]{43}/gv, 'SECRET')
		.replaceAll(/ {2,}/gv, '  ');
}

function createRunner({httpHost, httpPort}: Daemon) {
	const endpoints = ['--endpoint', closedEndpoint, '--endpoint', `http://${httpHost}:${httpPort}`];
	return async (...args: readonly string[]): Promise<string> => {
		let text = '';
		const write = (output: string) => {
			text += output;
		};

		const exitCode = await runCli([...endpoints, ...args], {
			...createIo(), write, writeError: write, env: Object.fromEntries([['SAMPHIREMILL_TOKEN', token]]),
		});
		return mask(`${text}[${exitCode}]`);
	};
}

const records = [
	{
		apiVersion: 'samphiremill/v2', kind: 'queue', id: 'cloths', pool: 'counters',
	},
	{
		apiVersion: 'samphiremill/v2', kind: 'pool', id: 'counters', maximumUnavailableHosts: 1,
	},
	{
		apiVersion: 'samphiremill/v1', kind: 'team', name: 'olinda', title: 'Olinda', share: 3, limit: 7,
	},
];

test('records, keys and their history persist across a restart of the daemon', async () => {
	const folder = await createFolder();
	const file = path.join(folder, 'records.json');
	await writeFile(file, JSON.stringify(records));
	const first = await startHost(folder);
	const run = createRunner(first);
	const transcript = [
		await run('apply', '-f', file, '--wait'),
		await run('apply', '-f', file),
		await run('diff', '-f', file),
		await run('--api-version', 'v1', 'get', 'team'),
		await run('keys', 'grant', 'olinda-1', '--team', 'olinda', '--change-id', 'grant-1'),
		await run('keys', 'withdraw', 'olinda-1', '--wait', '--change-id', 'withdraw-1'),
		await run('delete', 'pool', 'counters'),
		await run('explain', 'job', 'none'),
	];
	await first.stop();

	const second = await startHost(folder);
	cleanups.push(async () => second.stop());
	const runAgain = createRunner(second);
	transcript.push(
		await runAgain('keys', 'withdraw', 'olinda-1', '--change-id', 'withdraw-1'),
		await runAgain('history', 'key', 'olinda-1'),
		await runAgain('get', 'queue', 'cloths'),
	);
	expect(transcript).toMatchSnapshot();
});
