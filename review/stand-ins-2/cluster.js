/**
 * Starts the project's programs as separate processes, with the commands of the deploy file, each on its own loopback address.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './http-call.js';

const pollMs = 50;
const startTimeoutMs = 15_000;

/** The bounds of the users' small sites. */
const bounds = {
	contactMs: 3000, ackTimeoutMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000, maxHoldMs: 6000, stopTimeoutMs: 400, cancel_ms: 3000, visible_ms: 3000, status_s: 120, migrateS: 1.5, maintenanceS: 2, fencingEnforced: true, leaseMs: 3000, // eslint-disable-line camelcase -- names of the settings file
};

const isFree = async (host, port) => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen({host, port}, () => {
		server.close(() => {
			resolve(true);
		});
	});
});

const areFree = async (hosts, ports) => {
	const found = await Promise.all(hosts.flatMap(host => ports.map(async port => isFree(host, port))));
	return found.every(Boolean);
};

/** Chooses a network of loopback addresses on which no port in use is needed. */
export async function chooseNetwork() {
	for (let attempt = 0; attempt < 50; attempt += 1) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		const hosts = [1, 2, 3, 11, 12].map(number => `${network}.${number}`);
		// eslint-disable-next-line no-await-in-loop -- one network after the other
		if (await areFree(hosts, [18_340, 18_343, 18_345, 17_000, 17_015])) {
			return network;
		}
	}

	throw new Error('no free loopback network was found');
}

const readCommands = async () => {
	const text = await readFile('deploy/system.toml', 'utf8');
	const commands = {};
	for (const [, role, line] of text.matchAll(/^\[roles\.(\w+)\]\nrun = "([^"]+)"/gmv)) {
		commands[role] = line.split(' ');
	}

	return commands;
};

const createSettings = ({name, host, seeds, isControl, dataFolder, isFirstStart, cloudAddress}) => ({
	nodeName: name,
	role: isControl ? 'control' : 'entry',
	machineClass: isControl ? 'core' : 'edge',
	serves: [isControl ? 'control' : 'edge'],
	ip: host,
	zone: 'cork-east',
	region: 'munster',
	zones: {'cork-east': 'munster'},
	listenAddrs: isControl ? {controlPlane: `${host}:18345`} : {frontend: `${host}:18340`, readiness: `${host}:18343`},
	internalPorts: [17_000, 17_015],
	seedNodes: seeds.map(seed => `${seed}:18345`),
	bootstrap: isFirstStart,
	faultCounted: isControl,
	limits: {
		cpuShare: 0.945, cores: 1, memoryMb: isControl ? 346 : 350, maxFds: isControl ? 4096 : 4100, linkMbps: 1000, diskMb: isControl ? 128 : 0,
	},
	dataDir: isControl ? dataFolder : null,
	discovery: 'registration',
	entryPoint: 'vip',
	heartbeatMs: 1500,
	contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'quota', 'advice', 'upkeep', 'sharing'],
	faultTolerance: {machines: 1, zones: 1, regions: 0},
	bounds,
	// eslint-disable-next-line camelcase -- a name of the settings file
	config_mode: 'highest',
	controlMode: 'rpc',
	advice: null,
	cloudApi: cloudAddress === undefined
		? null
		: {
			address: cloudAddress, ratePerS: 64, duties: [], dutyPerS: 64,
		},
});

const createMember = ({
	name, host, seeds, isControl, folder, commands, cloudAddress, record,
}) => {
	const settingsFile = path.join(folder, `${name}.json`);
	const [program, ...args] = commands[isControl ? 'control' : 'entry'];
	let isFirstStart = true;
	let child;
	let log = '';
	const exits = [];
	const ordered = new WeakSet();
	return {
		name,
		host,
		exits,
		getLog: () => log,
		isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
		async start() {
			await writeFile(settingsFile, JSON.stringify(createSettings({
				name, host, seeds, isControl, dataFolder: path.join(folder, name), isFirstStart, cloudAddress,
			})));
			isFirstStart = false;
			const started = spawn(program === 'node' ? process.execPath : program, args, {
				stdio: ['ignore', 'pipe', 'pipe'],
				env: {PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIREMILL_NODE_FILE: settingsFile},
			});
			child = started;
			for (const stream of [started.stdout, started.stderr]) {
				stream.setEncoding('utf8').on('data', text => {
					log = (log + text).slice(-2_000_000);
				});
			}

			started.once('exit', (code, signal) => {
				if (!ordered.has(started)) {
					exits.push(signal ?? `code ${code}`);
				}

				record(`${name} ended with ${signal ?? `code ${code}`}${ordered.has(started) ? '' : ', which nobody asked for'}`);
			});
			record(`${name} starts at ${host}`);
		},
		signal(signal) {
			if (signal === 'SIGKILL' || signal === 'SIGTERM') {
				ordered.add(child);
			}

			record(`${name} gets ${signal}`);
			child.kill(signal);
		},
		async end() {
			if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
				return;
			}

			ordered.add(child);
			const exited = once(child, 'exit');
			child.kill('SIGKILL');
			await exited;
		},
	};
};

const isReady = async host => {
	const {status} = await call({address: `${host}:18343`, path: '/readiness', timeoutMs: 500});
	return status === 200;
};

/**
 * Creates and starts the processes: three control hosts and entry hosts.
 *
 * @param options - `record` is called with a line for each start, signal and exit.
 */
export async function startCluster({network, entryCount = 2, cloudAddress, record}) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'review-2-'));
	const commands = await readCommands();
	const controlHosts = [1, 2, 3].map(number => `${network}.${number}`);
	const create = (name, host, isControl) => createMember({
		name, host, seeds: controlHosts, isControl, folder, commands, cloudAddress, record,
	});
	const controls = controlHosts.map((host, index) => create(`control-${index + 1}`, host, true));
	const entries = Array.from({length: entryCount}, (_, index) => create(`entry-${index + 1}`, `${network}.${index + 11}`, false));
	for (const member of [...controls, ...entries]) {
		await member.start(); // eslint-disable-line no-await-in-loop -- a few processes
	}

	return {
		controls,
		entries,
		frontends: entries.map(({host}) => `${host}:18340`),
		controlAddresses: controlHosts.map(host => `${host}:18345`),
		async waitUntilReady() {
			const untilMs = Date.now() + startTimeoutMs;
			for (const {host} of entries) {
				// eslint-disable-next-line no-await-in-loop -- one host after the other
				while (!await isReady(host)) {
					if (Date.now() > untilMs) {
						throw new Error('the entry hosts are not ready in time');
					}

					await sleep(pollMs); // eslint-disable-line no-await-in-loop -- polls
				}
			}
		},
		/** Returns the control host that leads, by the logs. */
		findLeader() {
			const latest = controls.map(member => {
				const terms = [...member.getLog().matchAll(/"message":"leads in term (\d+)"/gv)];
				return {member, term: Number(terms.at(-1)?.[1] ?? 0)};
			});
			return latest.toSorted((left, right) => right.term - left.term)[0].member;
		},
		async close() {
			for (const member of [...controls, ...entries]) {
				await member.end(); // eslint-disable-line no-await-in-loop -- a few processes
			}

			await rm(folder, {recursive: true, force: true});
		},
	};
}
