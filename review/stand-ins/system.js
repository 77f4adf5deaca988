/**
 * Starts the project's own programs as separate processes, with the commands of the deploy file, as the platform does:
 * each on its own loopback address, with a settings file that is rendered at every start.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

const repository = path.resolve(import.meta.dirname, '../..');

const readCommand = role => {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	const [, run] = /^run = "(.*)"$/mv.exec(section);
	return run.split(' ');
};

/* eslint-disable camelcase -- the names in the settings file */

/** The bounds of the site file tearmann-mill, as its sheet gives them. */
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
	cancel_ms: 3000,
	visible_ms: 3000,
	early_ms: 250,
	finish_s: 14,
	status_s: 120,
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

const zones = ['cork-east', 'kerry-north', 'limerick-city'];

const isFree = async (host, port) => {
	const server = createServer();
	server.listen({host, port});
	try {
		await once(server, 'listening');
		server.close();
		await once(server, 'close');
		return true;
	} catch {
		return false;
	}
};

// The same ports on all addresses of a run, as on the platform.
const choosePorts = async hosts => {
	for (;;) {
		const first = 12_000 + (Math.floor(Math.random() * 900) * 20);
		const checks = await Promise.all(hosts.flatMap(host => Array.from({length: 20}, async (_, offset) => isFree(host, first + offset)))); // eslint-disable-line no-await-in-loop -- until a range is free
		if (checks.every(Boolean)) {
			return first;
		}
	}
};

/**
 * Creates the processes without starting them. `record` takes one line for each start, signal and end of a process;
 * `changedBounds` are those of another sheet.
 */
export async function createSystem({controls, entries, record, changedBounds = {}}) {
	const network = `127.${64 + (process.pid % 128)}.${1 + Math.floor(Math.random() * 250)}`;
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-review-'));
	const controlHosts = Array.from({length: controls}, (_, index) => `${network}.${index + 1}`);
	const entryHosts = Array.from({length: entries}, (_, index) => `${network}.${index + 101}`);
	const first = await choosePorts([...controlHosts, ...entryHosts]);
	const ports = {
		control: first, caller: first + 1, readiness: first + 2, internal: [first + 3, first + 19],
	};
	let isFirstStart = true;
	let seeds = controlHosts.slice(0, 3);
	const processes = [];

	const createProcess = (name, host, {isControl, zone}) => {
		const dataDirectory = path.join(folder, name);
		const settingsFile = path.join(folder, `${name}.json`);
		const lines = [];
		let child;

		const render = async () => {
			const settings = {
				nodeName: name,
				role: isControl ? 'control' : 'entry',
				machineClass: isControl ? 'core' : 'edge',
				serves: [isControl ? 'control' : 'edge'],
				ip: host,
				zone,
				region: 'munster',
				zones: Object.fromEntries(zones.map(known => [known, 'munster'])),
				listenAddrs: isControl ? {controlPlane: `${host}:${ports.control}`} : {frontend: `${host}:${ports.caller}`, readiness: `${host}:${ports.readiness}`},
				internalPorts: ports.internal,
				seedNodes: seeds.map(seed => `${seed}:${ports.control}`),
				bootstrap: isFirstStart,
				faultCounted: isControl,
				limits: {
					cpuShare: 0.945, cores: 1, memoryMb: 346, maxFds: 4096, linkMbps: 200, diskMb: isControl ? 128 : 0,
				},
				dataDir: isControl ? dataDirectory : null,
				discovery: 'registration',
				entryPoint: 'vip',
				heartbeatMs: 1500,
				contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'quota'],
				faultTolerance: {machines: 1, zones: 1, regions: 0},
				bounds: {...bounds, ...changedBounds},
				config_mode: 'highest',
				controlMode: 'rpc',
			};
			await writeFile(settingsFile, JSON.stringify(settings));
		};

		const member = {
			name,
			host,
			zone,
			isControl,
			render,
			lines,
			async start() {
				if (isControl) {
					await mkdir(dataDirectory, {recursive: true});
				}

				await render();
				const [program, ...args] = readCommand(isControl ? 'control' : 'entry');
				child = spawn(program, args, {
					cwd: repository,
					stdio: ['ignore', 'pipe', 'pipe'],
					env: {PATH: process.env.PATH, SAMPHIREMILL_NODE_FILE: settingsFile},
				});
				let rest = '';
				const read = text => {
					const parts = (rest + text).split('\n');
					rest = parts.pop();
					lines.push(...parts);
				};

				child.stdout.setEncoding('utf8').on('data', read);
				child.stderr.setEncoding('utf8').on('data', read);
				const started = child;
				child.once('exit', (code, signal) => {
					record(`process ${name} at ${host} ended: ${signal ?? `code ${code}`}`);
					child = child === started ? undefined : child;
				});
				record(`process ${name} at ${host} starts, pid ${child.pid}, seeds ${seeds.join(' ')}`);
			},
			signal(signal) {
				if (child !== undefined) {
					record(`process ${name} at ${host} gets ${signal}`);
					child.kill(signal);
				}
			},
			async waitForExit() {
				if (child !== undefined) {
					await once(child, 'exit');
				}
			},
			isRunning: () => child !== undefined,
		};
		processes.push(member);
		return member;
	};

	const system = {
		ports,
		folder,
		controls: controlHosts.map((host, index) => createProcess(`core-${index + 1}`, host, {isControl: true, zone: zones[index % 3]})),
		entries: entryHosts.map((host, index) => createProcess(`edge-${index + 1}`, host, {isControl: false, zone: zones[index % 3]})),
		minionHost: `${network}.201`,
		backHost: `${network}.202`,
		network,
		/** A machine that replaces another one: a new address and an empty disk. */
		createReplacement(zone) {
			const number = system.controls.length + 1;
			const member = createProcess(`core-${number}`, `${network}.${number}`, {isControl: true, zone});
			system.controls.push(member);
			return member;
		},
		/** What the operator's list of control addresses names now; settings are rendered anew, without a signal. */
		async setSeeds(members) {
			seeds = members.slice(0, 3).map(({host}) => host);
			await Promise.all(processes.filter(member => member.isRunning()).map(async member => member.render()));
			record(`the settings files name the seeds ${seeds.join(' ')} now`);
		},
		async startAll() {
			await Promise.all(processes.map(async member => member.start()));
			isFirstStart = false;
		},
		/** Finds the running control host whose log says last that it leads. */
		findLeader() {
			const leads = system.controls.filter(member => member.isRunning()).flatMap(member => member.lines
				.flatMap(line => /leads in term (\d+)/v.exec(line)?.[1] ?? [])
				.map(term => ({member, term: Number(term)})));
			return leads.toSorted((left, right) => right.term - left.term)[0]?.member;
		},
		async close() {
			for (const member of processes) {
				const ended = member.waitForExit();
				member.signal('SIGCONT');
				member.signal('SIGKILL');
				await ended; // eslint-disable-line no-await-in-loop -- a few processes
			}

			await rm(folder, {recursive: true, force: true});
		},
	};
	// The processes must not outlive the script.
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, async () => {
			await system.close();
			process.exit(2);
		});
	}

	return system;
}
/* eslint-enable camelcase */
