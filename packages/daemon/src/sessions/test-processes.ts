/**
 * A cluster of daemons in separate processes on the loopback interface, for tests that kill, pause and restart them.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import {startTestMinion, type TestMinion} from './test-minion.js';
import {waitUntil, testRecords} from './test-deployment.js';

const daemonFile = new URL('../../dist/samphiremilld.mjs', import.meta.url).pathname;
const operatorToken = 'operator-token-for-tests';

/** One entry host of the cluster. */
export type ClusterMember = {
	readonly node: string;
	readonly dataCentre: string;
	readonly origin: string;
	readonly kill: () => Promise<void>;
	readonly pause: () => void;
	readonly resume: () => void;
	/** Sends SIGTERM and waits for the process to exit. Resolves with the exit code. */
	readonly stop: () => Promise<number | undefined>;
	readonly start: () => Promise<void>;
	readonly isReady: () => Promise<boolean>;
	/** Returns all output of the member's processes. */
	readonly getLog: () => string;
};

/** A request of an operator. */
export type OperatorCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: string;
};

/** Five entry hosts in two data centres, three of them voters, and two minions in the data centre `recife`. */
export type ProcessCluster = {
	readonly members: readonly ClusterMember[];
	readonly minions: readonly TestMinion[];
	readonly callAsOperator: (member: ClusterMember, call: OperatorCall) => Promise<{readonly status: number; readonly body: string}>;
	readonly close: () => Promise<void>;
};

const memberLocations = [
	{node: 'entry-1', dataCentre: 'recife', isVoter: true},
	{node: 'entry-2', dataCentre: 'recife', isVoter: true},
	{node: 'entry-3', dataCentre: 'recife', isVoter: false},
	{node: 'entry-4', dataCentre: 'natal', isVoter: true},
	{node: 'entry-5', dataCentre: 'natal', isVoter: false},
] as const;

const getFreePort = async (): Promise<number> => {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server that listens has this address
	const {port} = server.address() as net.AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
};

type MemberAddress = (typeof memberLocations)[number] & {
	readonly httpPort: number;
	readonly peerPort: number;
};

const createSettings = (self: MemberAddress, addresses: readonly MemberAddress[], folder: string) => ({
	apiVersion: 'samphiremill/settings/v1',
	node: self.node,
	dataCentre: self.dataCentre,
	region: 'nordeste',
	listen: {http: {host: '127.0.0.1', port: self.httpPort}, peers: {host: '127.0.0.1', port: self.peerPort}},
	peers: addresses.filter(({node}) => node !== self.node).map(({node, dataCentre, peerPort}) => ({
		node, dataCentre, region: 'nordeste', host: '127.0.0.1', peerPort,
	})),
	voters: addresses.filter(({isVoter}) => isVoter).map(({node}) => node),
	dataFolder: path.join(folder, self.node),
	clusterSecret: 'a-secret-of-the-cluster-under-test-only',
	operators: [{name: 'ana', role: 'write', tokenHash: createHash('sha256').update(operatorToken).digest('hex')}],
	seedRecordsFile: path.join(folder, 'seed.json'),
});

const isReadyAt = async (origin: string): Promise<boolean> => {
	try {
		const {statusCode, body} = await request(`${origin}/v1/ready`, {headersTimeout: 1000});
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
};

const createMember = ({node, dataCentre, httpPort}: MemberAddress, settingsFile: string): ClusterMember => {
	let child: ChildProcess | undefined;
	let log = '';
	const origin = `http://127.0.0.1:${httpPort}`;
	const isReady = async () => isReadyAt(origin);
	const terminate = async (signal: 'SIGKILL' | 'SIGTERM'): Promise<number | undefined> => {
		const running = child;
		child = undefined;
		if (running === undefined) {
			return undefined;
		}

		const exit = once(running, 'exit');
		running.kill(signal);
		const [code] = await exit as unknown[];
		return typeof code === 'number' ? code : undefined;
	};

	return {
		node,
		dataCentre,
		origin,
		isReady,
		getLog: () => log,
		async start() {
			const started = spawn(process.execPath, [daemonFile, '--settings', settingsFile], {stdio: ['ignore', 'pipe', 'pipe']});
			child = started;
			const appendLog = (text: unknown) => {
				log += String(text);
			};

			started.stdout.on('data', appendLog);
			started.stderr.on('data', appendLog);
			await waitUntil(isReady, `readiness of ${node}`);
		},
		async kill() {
			await terminate('SIGKILL');
		},
		pause() {
			child?.kill('SIGSTOP');
		},
		resume() {
			child?.kill('SIGCONT');
		},
		stop: async () => terminate('SIGTERM'),
	};
};

/** Starts the cluster. Resolves once all members are ready; the minions announce themselves from then on. */
export async function startProcessCluster(): Promise<ProcessCluster> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-cluster-'));
	await writeFile(path.join(folder, 'seed.json'), JSON.stringify(testRecords.map(record => ({apiVersion: 'samphiremill/v2', ...record}))));
	const addresses = await Promise.all(memberLocations.map(async location => ({...location, httpPort: await getFreePort(), peerPort: await getFreePort()})));
	const members = await Promise.all(addresses.map(async address => {
		const file = path.join(folder, `${address.node}.json`);
		await writeFile(file, JSON.stringify(createSettings(address, addresses, folder)));
		return createMember(address, file);
	}));
	const started = await Promise.allSettled(members.map(async member => member.start()));
	if (started.some(({status}) => status === 'rejected')) {
		await Promise.all(members.map(async member => member.kill()));
		throw new Error(`the cluster did not start:\n${members.map(member => member.getLog()).join('\n')}`);
	}

	const minions = await Promise.all([1, 2].map(async () => startTestMinion()));
	let nextMember = 0;
	const announce = async (minion: TestMinion, number: number) => {
		const local = members.filter(({dataCentre}) => dataCentre === 'recife');
		const member = local[nextMember % local.length];
		nextMember += 1;
		try {
			const {body} = await request(`${member?.origin ?? ''}/v1/minions/counter-${number}`, {
				method: 'PUT',
				headersTimeout: 500,
				body: JSON.stringify({
					incarnation: 1, worker: `worker-${number}`, pool: 'counter', dataCentre: 'recife', host: '127.0.0.1', port: minion.port, slots: 8, connections: 64,
				}),
			});
			await body.dump();
		} catch {
			// The next renewal is sent to the next entry host.
		}
	};

	const renewal = setInterval(() => {
		for (const [index, minion] of minions.entries()) {
			void announce(minion, index + 1);
		}
	}, 700);

	return {
		members,
		minions,
		async callAsOperator(member, {method, path: target, body}) {
			const answer = await request(`${member.origin}${target}`, {
				method, headers: {authorization: `Bearer ${operatorToken}`}, ...(body === undefined ? {} : {body}),
			});
			return {status: answer.statusCode, body: await answer.body.text()};
		},
		async close() {
			clearInterval(renewal);
			await Promise.all(members.map(async member => {
				member.resume();
				await member.kill();
			}));
			await Promise.all(minions.map(async minion => minion.close()));
			await rm(folder, {recursive: true});
		},
	};
}
