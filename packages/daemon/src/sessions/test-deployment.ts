/**
 * A daemon on the loopback interface with test minions, and functions that send requests of callers,
 * minions and operators.
 */
import {createHash} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSeededRandom, toBrand, type WallClockMs} from '@samphiremill/common';
import {type ControlCommand, type ControlRecord} from '@samphiremill/core';
import {request} from 'undici';
import {createRealTimerService} from '../runtime/real-timer-service.js';
import {startDaemon, type Daemon} from '../runtime/start-daemon.js';
import {restoreSettings} from '../settings/index.js';
import {startTestMinion, type TestMinion} from './test-minion.js';

const waitTimeoutMs = 20_000;
const pollMs = 20;
const operatorToken = 'operator-token-for-tests';
/** The secret of team `sertao`'s key. */
export const sertaoSecret = 'sertao-secret';
/** The secret of team `costa`'s key. */
export const costaSecret = 'costa-secret';

const hashSecret = (text: string): string => createHash('sha256').update(text).digest('hex');

/** The answer to a request. */
export type Answer = {
	readonly status: number;
	readonly body: string;
	readonly isReplayed: boolean;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** A request that a test sends. */
export type TestCall = {
	readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** A running daemon, with functions that send requests to it. */
export type TestNode = {
	readonly daemon: Daemon;
	readonly origin: string;
	readonly call: (call: TestCall) => Promise<Answer>;
	readonly submit: (job: {
		readonly queue: string;
		readonly body: string;
		readonly secret?: string;
		readonly key?: string;
		readonly headers?: Readonly<Record<string, string>>;
	}) => Promise<Answer>;
	readonly callAsOperator: (call: TestCall) => Promise<Answer>;
};

/** One daemon and its test minions. */
export type TestDeployment = {
	readonly node: TestNode;
	readonly listLogLines: () => readonly string[];
	readonly addMinion: (options: {readonly minion: string; readonly worker: string; readonly slots?: number; readonly incarnation?: number}) => Promise<TestMinion>;
	readonly close: () => Promise<void>;
};

/**
 * Waits until a condition holds. Fails after a timeout that is much longer than a healthy run needs.
 *
 * @param description - The event that is awaited; the error says that it did not happen.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, description: string): Promise<void> {
	const timeoutAtMs = Date.now() + waitTimeoutMs;
	// eslint-disable-next-line no-await-in-loop -- polls
	while (!(await condition())) {
		if (Date.now() > timeoutAtMs) {
			throw new Error(`${description} did not happen within ${waitTimeoutMs} ms`);
		}

		await delay(pollMs); // eslint-disable-line no-await-in-loop -- polls
	}
}

const createWorkerRecord = (number: number): ControlRecord => ({
	kind: 'worker', id: toBrand(`worker-${number}`), dataCentre: toBrand('recife'), rack: toBrand(`rack-${number}`), cores: 32, memoryMb: 131_072, accelerators: 0, homePool: toBrand('counter'),
});

/** The records that the tests start with. */
export const testRecords: readonly ControlRecord[] = [
	{
		kind: 'pool', id: toBrand('counter'), maximumUnavailableHosts: 1, isSpare: false,
	},
	{kind: 'team', id: toBrand('sertao'), displayName: 'Sertão'},
	{kind: 'team', id: toBrand('costa'), displayName: 'Costa'},
	{
		kind: 'key', id: toBrand('sertao-1'), team: toBrand('sertao'), secretHash: hashSecret(sertaoSecret),
	},
	{
		kind: 'key', id: toBrand('costa-1'), team: toBrand('costa'), secretHash: hashSecret(costaSecret),
	},
	{kind: 'limit', id: toBrand('costa'), maximumRunningJobs: 2},
	{
		kind: 'queue', id: toBrand('reservations'), pool: toBrand('counter'), access: 'keyed', maximumBodyBytes: 1024, defaultDeadlineMs: 15_000,
	},
	{
		kind: 'queue', id: toBrand('questions'), pool: toBrand('counter'), access: 'open', maximumBodyBytes: 1024, defaultDeadlineMs: 15_000,
	},
	createWorkerRecord(1),
	createWorkerRecord(2),
];

/**
 * Creates the commands that write the records to an empty log.
 */
export function createSeedCommands(records: readonly ControlRecord[]): readonly ControlCommand[] {
	return records.map((record, index) => ({
		type: 'control/putRecord', changeId: toBrand(`seed-${index}`), actor: 'seed', acceptedAtMs: toBrand<WallClockMs>(1), record,
	}));
}

const call = async (origin: string, {method = 'GET', path: target, headers = {}, body}: TestCall): Promise<Answer> => {
	const answer = await request(`${origin}${target}`, {
		method, headers, ...(body === undefined ? {} : {body}),
	});
	return {
		status: answer.statusCode,
		body: await answer.body.text(),
		isReplayed: answer.headers['samphiremill-replayed'] === 'true',
		headers: answer.headers,
	};
};

/**
 * Creates the functions that send requests to a running daemon.
 */
export function createTestNode(daemon: Daemon): TestNode {
	const origin = `http://${daemon.httpHost}:${daemon.httpPort}`;
	return {
		daemon,
		origin,
		call: async options => call(origin, options),
		submit: async ({queue, body, secret, key, headers = {}}) => call(origin, {
			method: 'POST',
			path: `/v1/queues/${queue}/jobs`,
			body,
			headers: {
				...headers,
				...(secret === undefined ? {} : {authorization: `Bearer ${secret}`}),
				...(key === undefined ? {} : {'idempotency-key': key}),
			},
		}),
		callAsOperator: async options => call(origin, {
			...options, headers: {...options.headers, authorization: `Bearer ${operatorToken}`},
		}),
	};
}

/**
 * Starts one daemon. Resolves once it is ready.
 *
 * @param options.folder - An existing data folder, which is kept when the deployment is closed. Without
 * it a temporary one is created, and removed on close.
 */
export async function startTestDeployment(options: {readonly folder?: string} = {}): Promise<TestDeployment> {
	const folder = options.folder ?? await mkdtemp(path.join(os.tmpdir(), 'samphiremill-test-'));
	const settings = restoreSettings({
		apiVersion: 'samphiremill/settings/v1',
		node: 'entry-1',
		dataCentre: 'recife',
		region: 'nordeste',
		listen: {http: {host: '127.0.0.1', port: 0}, peers: {host: '127.0.0.1', port: 0}},
		voters: ['entry-1'],
		dataFolder: folder,
		clusterSecret: 'a-secret-of-the-cluster-under-test-only',
		operators: [{name: 'ana', role: 'write', tokenHash: hashSecret(operatorToken)}],
	});
	if (!settings.ok) {
		throw new TypeError(JSON.stringify(settings.err));
	}

	let lines: readonly string[] = [];
	const recordLine = (message: string) => {
		lines = [...lines, message];
	};

	const started = await startDaemon({
		settings: settings.value,
		timers: createRealTimerService(),
		random: createSeededRandom(7),
		log: {
			debug: () => undefined,
			info: recordLine,
			warn: recordLine,
			error: recordLine,
		},
		getWallClock: () => toBrand<WallClockMs>(Date.now()),
		seedCommands: createSeedCommands(testRecords),
	});
	if (!started.ok) {
		throw new TypeError(JSON.stringify(started.err));
	}

	const node = createTestNode(started.value);
	await waitUntil(async () => {
		const {status} = await node.call({path: '/v1/ready'});
		const control = started.value.runtime.getControl();
		return status === 200 && control.views.size === 1 && started.value.runtime.getState().claims.views.size === 1;
	}, 'readiness of entry-1');
	const minions: TestMinion[] = [];

	return {
		node,
		listLogLines: () => lines,
		async addMinion({minion, worker: workerId, slots = 8, incarnation = 1}) {
			const started = await startTestMinion();
			minions.push(started);
			await node.call({
				method: 'PUT',
				path: `/v1/minions/${minion}`,
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					incarnation, worker: workerId, pool: 'counter', dataCentre: 'recife', host: '127.0.0.1', port: started.port, slots, connections: 64,
				}),
			});
			return started;
		},
		async close() {
			await started.value.stop();
			await Promise.all(minions.map(async minion => minion.close()));
			if (options.folder === undefined) {
				await rm(folder, {recursive: true});
			}
		},
	};
}
