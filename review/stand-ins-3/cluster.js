/**
 * Starts the project's programs as separate processes with the commands of the deploy file, each on a loopback address of its own, and
 * ends them.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {request} from 'node:http';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

const secondsToMs = 1000;

/** Bounds of a small deployment, as its pages give them. */
export const bounds = {
	seedLagS: 3,
	addrReuseS: 2,
	contactMs: 3000,
	ackTimeoutMs: 4000,
	catchUpS: 4,
	drainMs: 2000,
	graceS: 6,
	lossSlackMs: 200,
	configApplyMs: 2000,
	rollbackSlackMs: 250,
	maxStretchMs: 5000,
	revokeStrict: false,
	revokeMs: 5000,
	quotaWindowS: 5,
	quotaOverage: 0.1,
	quotaSlack: 20,
	recoveryS: 12,
	maxHoldMs: 6000,
	stopTimeoutMs: 400,
	gangTimeoutMs: 3000,
	cancel_ms: 3000, // eslint-disable-line camelcase -- the name in the file
	visible_ms: 3000, // eslint-disable-line camelcase -- the name in the file
	early_ms: 250, // eslint-disable-line camelcase -- the name in the file
	finish_s: 14, // eslint-disable-line camelcase -- the name in the file
	status_s: 120, // eslint-disable-line camelcase -- the name in the file
	remotePenalty: 3,
	checkpointIntervalS: 0.5,
	restoreMs: 600,
	noticeMs: 4500,
	migrateS: 1.5,
	maintenanceS: 2,
	fencingEnforced: true,
	leaseMs: 3000,
	thawSlackMs: 300,
	pacingMs: 100,
	interferenceMs: 4000,
};

/** Time between two reports of a minion. */
export const heartbeatMs = 1500;

/** Waits for a time in milliseconds. */
export const sleep = async durationMs => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

/** Calls `check` until it returns a value that is not `undefined`, for at most `timeoutMs`. */
export async function waitUntil(check, timeoutMs, pollMs = 50) {
	const untilMs = performance.now() + timeoutMs;
	for (;;) {
		const found = await check(); // eslint-disable-line no-await-in-loop -- polls
		if (found !== undefined || performance.now() > untilMs) {
			return found;
		}

		await sleep(pollMs); // eslint-disable-line no-await-in-loop -- polls
	}
}

// Returns the words of the command of a role in the deploy file.
const readCommand = role => {
	const text = readFileSync(path.resolve('deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? '';
	const command = /^run = "(?<command>[^"]+)"$/mv.exec(section)?.groups?.command;
	if (command === undefined) {
		throw new Error(`the deploy file has no command for the role ${role}`);
	}

	return command.split(' ');
};

/** Returns a port that is free on a loopback address. */
export async function findFreePort(host) {
	const server = createServer();
	server.listen({host, port: 0});
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

const createSettings = ({role, name, host, ports, seeds, isFirstStart, dataFolder, cloudAddress, adviceAddress, zone}) => ({
	nodeName: name,
	role,
	machineClass: role === 'control' ? 'core' : 'edge',
	serves: [role === 'control' ? 'control' : 'edge'],
	ip: host,
	zone,
	region: 'munster',
	zones: {'cork-east': 'munster', 'kerry-north': 'munster', 'limerick-city': 'munster'},
	listenAddrs: role === 'control' ? {controlPlane: `${host}:${ports.control}`} : {frontend: `${host}:${ports.caller}`, readiness: `${host}:${ports.readiness}`},
	internalPorts: [ports.peer, ports.metrics],
	seedNodes: seeds.map(seed => `${seed}:${ports.control}`),
	bootstrap: isFirstStart,
	faultCounted: role === 'control',
	limits: {
		cpuShare: 0.945, cores: 1, memoryMb: 346, maxFds: 4096, linkMbps: 200, diskMb: role === 'control' ? 128 : 0,
	},
	dataDir: role === 'control' ? dataFolder : null,
	discovery: 'registration',
	entryPoint: 'vip',
	heartbeatMs,
	contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'quota', 'advice', 'upkeep', 'sharing'],
	faultTolerance: {machines: 1, zones: 1, regions: 0},
	bounds,
	config_mode: 'highest', // eslint-disable-line camelcase -- the name in the file
	controlMode: 'rpc',
	advice: adviceAddress ?? null,
	cloudApi: {
		address: cloudAddress, ratePerS: 64, duties: [], dutyPerS: 64,
	},
});

const createProcess = ({role, name, host, folder, record, ...details}) => {
	const settingsFile = path.join(folder, `${name}.json`);
	let child;
	let isFirstStart = true;
	let log = '';
	const requestedToExit = new WeakSet();
	const unexpectedExits = [];
	const [command, ...words] = readCommand(role);

	return {
		name,
		host,
		unexpectedExits,
		async start() {
			await writeFile(settingsFile, JSON.stringify(createSettings({
				role, name, host, isFirstStart, dataFolder: path.join(folder, name), ...details,
			})));
			isFirstStart = false;
			const started = spawn(command, words, {
				stdio: ['ignore', 'pipe', 'pipe'],
				env: {PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIREMILL_NODE_FILE: settingsFile},
			});
			for (const stream of [started.stdout, started.stderr]) {
				stream.setEncoding('utf8').on('data', text => {
					log += text;
				});
			}

			started.once('exit', (code, signal) => {
				if (!requestedToExit.has(started)) {
					unexpectedExits.push(`${name} ended with ${signal ?? `code ${code}`}`);
				}

				record(`${name} (${started.pid}) ended with ${signal ?? `code ${code}`}`);
				child = child === started ? undefined : child;
			});
			child = started;
			record(`${name} (${started.pid}) begins`);
		},
		signal(signal) {
			if (child !== undefined) {
				if (signal === 'SIGKILL' || signal === 'SIGTERM') {
					requestedToExit.add(child);
				}

				record(`${name} (${child.pid}) gets ${signal}`);
				child.kill(signal);
			}
		},
		isRunning: () => child !== undefined,
		async end() {
			const ended = child;
			if (ended !== undefined) {
				requestedToExit.add(ended);
				const exited = once(ended, 'exit');
				ended.kill('SIGKILL');
				await exited;
			}
		},
		getLog: () => log,
	};
};

const zones = ['cork-east', 'kerry-north', 'limerick-city'];

/** Draws the first numbers of the loopback addresses of a run, so that runs side by side do not meet. */
export const createNetwork = () => `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;

/**
 * Creates the processes of a small cluster without starting them.
 *
 * @param options - `network` begins the addresses; `cloudAddress` is where the stand-in of the platform listens.
 */
export async function createCluster({network, cloudAddress, adviceAddress, record, controlCount = 3, entryCount = 2}) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-review-'));
	const controlHosts = Array.from({length: controlCount}, (_, index) => `${network}.${index + 1}`);
	const seeds = controlHosts.slice(0, 3);
	const ports = {};
	for (const port of ['control', 'caller', 'readiness', 'peer', 'metrics']) {
		ports[port] = await findFreePort(controlHosts[0]); // eslint-disable-line no-await-in-loop -- each must be another one
	}

	const shared = {
		folder, record, ports, seeds, cloudAddress, adviceAddress,
	};
	const controls = controlHosts.map((host, index) => createProcess({
		...shared, role: 'control', name: `core-${index + 1}`, host, zone: zones[index % zones.length],
	}));
	const entries = Array.from({length: entryCount}, (_, index) => createProcess({
		...shared, role: 'entry', name: `edge-${index + 1}`, host: `${network}.${index + 21}`, zone: zones[index % zones.length],
	}));
	const all = [...controls, ...entries];
	return {
		controls,
		entries,
		ports,
		controlAddresses: controlHosts.map(host => `${host}:${ports.control}`),
		entryAddresses: entries.map(({host}) => `${host}:${ports.caller}`),
		listUnexpectedExits: () => all.flatMap(({unexpectedExits}) => unexpectedExits),
		async start() {
			await Promise.all(all.map(async member => member.start()));
		},
		async close() {
			await Promise.all(all.map(async member => member.end()));
			await rm(folder, {recursive: true, force: true});
		},
	};
}

/**
 * Sends one HTTP request. Resolves to the status and the body, with status 0 if no complete response came in time.
 *
 * @param options - `address` is an IP address and a port.
 */
export async function callHttp({address, method = 'GET', target, body, headers = {}, timeoutMs = 3000}) {
	const [host, port] = address.split(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	return new Promise(resolve => {
		const req = request({
			host,
			port,
			method,
			path: target,
			agent: false,
			headers: {
				...headers,
				...(text !== undefined && {'content-type': 'application/json', 'content-length': new TextEncoder().encode(text).length}),
			},
		}, res => {
			let content = '';
			res.setEncoding('utf8').on('data', chunk => {
				content += chunk;
			});
			res.on('end', () => {
				let value;
				try {
					value = JSON.parse(content);
				} catch {
					value = undefined;
				}

				resolve({status: res.statusCode, body: value});
			});
		});
		req.setTimeout(timeoutMs, () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve({status: 0, body: undefined});
		});
		req.on('close', () => {
			resolve({status: 0, body: undefined});
		});
		req.end(text);
	});
}

/** Sends an order of the operator to one control host after the other until it has a clear answer. */
export async function callControl(cluster, call, timeoutMs = 20_000) {
	let turn = 0;
	return waitUntil(async () => {
		const address = cluster.controlAddresses[turn % cluster.controlAddresses.length];
		turn += 1;
		const answer = await callHttp({...call, address, timeoutMs: 1500});
		return answer.status === 0 || answer.status >= 500 ? undefined : answer;
	}, timeoutMs, 100);
}

/** Waits until an entry host takes work. */
export async function waitForReadiness(cluster, timeoutMs = 20_000) {
	return waitUntil(async () => {
		const answers = await Promise.all(cluster.entries.map(async ({host}) => callHttp({address: `${host}:${cluster.ports.readiness}`, target: '/readiness', timeoutMs: 500})));
		return answers.every(({status}) => status === 200) ? true : undefined;
	}, timeoutMs);
}

/** Milliseconds of a number of seconds. */
export const toMs = seconds => seconds * secondsToMs;
