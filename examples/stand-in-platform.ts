/**
 * A small stand-in for the platform that runs the hosts. It closes and opens the intake of a host,
 * lists the tasks that run there, and reboots the host once per reboot id. Reboots take time by the given timers.
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSeededRandom, type TimerService} from '@samphiremill/common';

/** One task as the platform's interface represents it. */
export type StandInTask = {
	readonly task: string;
	readonly kind: string;
	readonly elapsedMs: number;
	readonly canCheckpoint: boolean;
	readonly checkpoint: 'none' | 'running' | 'taken';
};

/** Options of a stand-in platform. */
export type StandInPlatformOptions = {
	/** IP address to listen on. */
	readonly host: string;
	/** With 0 the operating system chooses the port. */
	readonly port: number;
	readonly timers: TimerService;
	readonly hosts: readonly string[];
	readonly rebootMs: number;
	readonly seed?: number;
	/** Fraction of the reboots after which the host does not return, from 0 to 1. */
	readonly lostRebootRatio?: number;
	/** Fraction of the reboots that the platform refuses, from 0 to 1. */
	readonly refusedRebootRatio?: number;
	readonly onIntakeChanged?: (host: string, intake: 'open' | 'closed') => void;
	readonly onRebootStarted?: (host: string) => void;
	readonly onRebootFinished?: (host: string) => void;
};

type Reboot = {readonly id: string; readonly state: 'running' | 'finished' | 'failed'};
type HostState = {readonly intake: 'open' | 'closed'; readonly closedBy?: string; readonly tasks: readonly StandInTask[]; readonly reboot?: Reboot};

/** A running stand-in platform. */
export type StandInPlatform = {
	readonly url: string;
	/** Every reboot that was started, as `host id`, in order. */
	readonly getReboots: () => readonly string[];
	readonly getIntake: (host: string) => 'open' | 'closed' | undefined;
	readonly setTasks: (host: string, tasks: readonly StandInTask[]) => void;
	/** Sets whether hosts can reboot. While they cannot, reboot requests have no effect and get status 503. */
	readonly setCanReboot: (canReboot: boolean) => void;
	/** Finishes the reboot of a host that did not return. */
	readonly recoverHost: (host: string) => void;
	readonly close: () => Promise<void>;
};

/** Starts a stand-in platform. Resolves once it listens. */
export async function startStandInPlatform(options: StandInPlatformOptions): Promise<StandInPlatform> {
	const {timers, rebootMs, lostRebootRatio = 0, refusedRebootRatio = 0} = options;
	const random = createSeededRandom(options.seed ?? 1);
	const hosts = new Map<string, HostState>(options.hosts.map(host => [host, {intake: 'open', tasks: []}]));
	const reboots: string[] = [];
	let canReboot = true;

	const update = (host: string, change: Partial<HostState>) => {
		const current = hosts.get(host);
		if (current !== undefined) {
			hosts.set(host, {...current, ...change});
		}
	};

	const finishReboot = (host: string) => {
		const reboot = hosts.get(host)?.reboot;
		if (reboot?.state === 'running') {
			update(host, {reboot: {...reboot, state: 'finished'}});
			options.onRebootFinished?.(host);
		}
	};

	const startReboot = (host: string, id: string) => {
		if (hosts.get(host)?.reboot?.id === id) {
			return;
		}

		if (random() < refusedRebootRatio) {
			update(host, {reboot: {id, state: 'failed'}});
			return;
		}

		reboots.push(`${host} ${id}`);
		update(host, {tasks: [], reboot: {id, state: 'running'}});
		options.onRebootStarted?.(host);
		if (random() >= lostRebootRatio) {
			timers.scheduleOnce(rebootMs, () => {
				finishReboot(host);
			});
		}
	};

	const updateTask = (host: string, task: string, change: Partial<StandInTask>) => {
		const tasks = hosts.get(host)?.tasks ?? [];
		update(host, {tasks: tasks.map(current => current.task === task ? {...current, ...change} : current)});
	};

	const setIntake = (host: string, document: unknown) => {
		const fields: Readonly<Record<string, unknown>> = typeof document === 'object' && document !== null ? {...document} : {};
		const intake = fields.intake === 'closed' ? 'closed' : 'open';
		if (hosts.get(host)?.intake !== intake) {
			update(host, {intake, closedBy: typeof fields.by === 'string' ? fields.by : ''});
			options.onIntakeChanged?.(host, intake);
		}
	};

	const handleRequest = async (req: IncomingMessage, res: ServerResponse) => {
		const url = new URL(req.url ?? '/', 'http://platform');
		const [host = '', resource = '', name = '', action = ''] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
		const body = await readJson(req);
		if (!canReboot && resource === 'reboots') {
			sendJson(res, 503, {title: 'reboots are not possible at present'});
			return;
		}

		if (url.pathname === '/v1/hosts') {
			const {searchParams} = url;
			const listed = [...hosts].filter(([, {intake, closedBy}]) => intake === (searchParams.get('intake') ?? intake)
				&& closedBy === (searchParams.get('by') ?? closedBy));
			sendJson(res, 200, {hosts: listed.map(([listedHost, state]) => ({host: listedHost, ...state}))});
			return;
		}

		if (!hosts.has(host)) {
			sendJson(res, 404, {title: 'unknown host'});
			return;
		}

		switch (`${req.method} ${resource} ${action}`) {
			case 'GET  ': {
				break;
			}

			case 'PUT intake ': {
				setIntake(host, body);
				break;
			}

			case 'PUT reboots ': {
				startReboot(host, name);
				break;
			}

			case 'PUT tasks checkpoint': {
				updateTask(host, name, {checkpoint: 'taken'});
				break;
			}

			case 'PUT tasks throttle': {
				break;
			}

			case 'DELETE tasks ': {
				update(host, {tasks: (hosts.get(host)?.tasks ?? []).filter(({task}) => task !== name)});
				break;
			}

			default: {
				sendJson(res, 404, {title: 'unknown operation'});
				return;
			}
		}

		sendJson(res, 200, {host, ...hosts.get(host)});
	};

	const server = createServer((req, res) => {
		void handleRequest(req, res);
	});
	await new Promise<void>(resolve => {
		server.listen(options.port, options.host, resolve);
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a listening TCP server has an address of this type
	const {port} = server.address() as AddressInfo;
	return {
		url: `http://${options.host}:${port}`,
		getReboots: () => reboots,
		getIntake: host => hosts.get(host)?.intake,
		setTasks(host, tasks) {
			update(host, {tasks});
		},
		setCanReboot(isPossible) {
			canReboot = isPossible;
		},
		recoverHost: finishReboot,
		async close() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}

async function readJson(req: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	try {
		return JSON.parse(new TextDecoder().decode(Buffer.concat(chunks)));
	} catch {
		return undefined;
	}
}

function sendJson(res: ServerResponse, status: number, document: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(document));
}
