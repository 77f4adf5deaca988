/**
 * A small stand-in for a back end. It announces itself to the entry hosts and renews the announcement,
 * runs each job for the time that the job's body states, answers, and remembers the state of every attempt.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request} from 'undici';

const renewPeriodMs = 1000;
const defaultRunTimeMs = 20;

/** Options of a stand-in minion. */
export type StandInMinionOptions = {
	readonly minion: string;
	readonly worker: string;
	readonly pool: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly connections: number;
	/** Increases with every restart. */
	readonly incarnation: number;
	/** IP address to listen on. */
	readonly host: string;
	/** Origins of the entry hosts; announcements are sent to them in rotation. */
	readonly entryHosts: readonly string[];
	/** Whether every job is answered with status 500. */
	readonly failsEverything?: boolean;
};

type AttemptState = 'running' | 'finished' | 'stopped';

/** A running stand-in minion. */
export type StandInMinion = {
	readonly port: number;
	/** Ids of the jobs that ran, one entry per run. */
	readonly getRuns: () => readonly string[];
	readonly getMaximumRunning: () => number;
	/** Tells the entry hosts that the minion leaves and takes no new jobs. */
	readonly leave: () => Promise<void>;
	readonly close: () => Promise<void>;
};

const readBody = async (req: IncomingMessage): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Uint8Array.from(chunks.flatMap(chunk => [...chunk]));
};

const getRunTimeMs = (body: Uint8Array): number => {
	try {
		const document: unknown = JSON.parse(new TextDecoder().decode(body));
		const runTimeMs = typeof document === 'object' && document !== null && 'runTimeMs' in document ? document.runTimeMs : undefined;
		return typeof runTimeMs === 'number' ? runTimeMs : defaultRunTimeMs;
	} catch {
		return defaultRunTimeMs;
	}
};

const sendJson = (res: ServerResponse, status: number, document: unknown, headers: Record<string, string> = {}) => {
	res.writeHead(status, {'content-type': 'application/json', ...headers});
	res.end(JSON.stringify(document));
};

/** Starts a stand-in minion. Resolves once it listens and has announced itself. */
export async function startStandInMinion(options: StandInMinionOptions): Promise<StandInMinion> {
	const {minion, incarnation, slots, entryHosts, host} = options;
	const attempts = new Map<string, AttemptState>();
	const stopRunning = new Map<string, () => void>();
	const runs: string[] = [];
	let running = 0;
	let maximumRunning = 0;
	let nextEntryHost = 0;

	const runJob = async (job: string, attempt: string, req: IncomingMessage, res: ServerResponse) => {
		const attemptKey = `${job}#${attempt}`;
		if (attempts.has(attemptKey) || running >= slots) {
			sendJson(res, 503, {state: attempts.get(attemptKey) ?? 'busy'}, {'samphiremill-ran': 'no'});
			return;
		}

		attempts.set(attemptKey, 'running');
		running += 1;
		maximumRunning = Math.max(maximumRunning, running);
		runs.push(job);
		const body = await readBody(req);
		const finishRun = () => {
			running -= 1;
			stopRunning.delete(attemptKey);
		};

		const timer = setTimeout(() => {
			finishRun();
			attempts.set(attemptKey, 'finished');
			sendJson(res, options.failsEverything === true ? 500 : 200, {
				job, minion, team: req.headers['samphiremill-team'], receivedBytes: body.length,
			});
		}, getRunTimeMs(body));
		stopRunning.set(attemptKey, () => {
			clearTimeout(timer);
			finishRun();
			res.destroy();
		});
	};

	const stopAttempt = (job: string, attempt: string, mode: string, res: ServerResponse) => {
		const attemptKey = `${job}#${attempt}`;
		const state = attempts.get(attemptKey);
		if (state === undefined) {
			attempts.set(attemptKey, 'stopped');
			sendJson(res, 200, {state: 'neverSeen'});
			return;
		}

		if (mode === 'always' && state === 'running') {
			attempts.set(attemptKey, 'stopped');
			stopRunning.get(attemptKey)?.();
		}

		sendJson(res, 200, {state: attempts.get(attemptKey)});
	};

	const server = createServer((req, res) => {
		const url = new URL(req.url ?? '/', 'http://minion');
		const [, resource = '', encodedJob = ''] = url.pathname.split('/');
		const job = decodeURIComponent(encodedJob);
		if (req.method === 'POST' && resource === 'jobs') {
			void runJob(job, String(req.headers['samphiremill-attempt'] ?? '1'), req, res);
			return;
		}

		if (req.method === 'DELETE' && resource === 'jobs') {
			stopAttempt(job, url.searchParams.get('attempt') ?? '1', url.searchParams.get('stop') ?? 'always', res);
			return;
		}

		sendJson(res, resource === 'health' ? 200 : 404, {state: resource === 'health' ? 'ready' : 'notFound'});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a listening TCP server has an address of this type
	const {port} = server.address() as AddressInfo;

	const sendToEntryHost = async (method: 'PUT' | 'POST', path: string, document: unknown) => {
		for (const _ of entryHosts) {
			const origin = entryHosts[nextEntryHost % entryHosts.length] ?? '';
			nextEntryHost += 1;
			try {
				// eslint-disable-next-line no-await-in-loop -- the next entry host is tried only when this one fails
				const {statusCode, body} = await request(`${origin}/v1/minions/${encodeURIComponent(minion)}${path}`, {
					method, headers: {'content-type': 'application/json'}, body: JSON.stringify(document), headersTimeout: 1000,
				});
				// eslint-disable-next-line no-await-in-loop -- the body must be read before the connection can be reused
				await body.dump();
				if (statusCode < 300) {
					return;
				}
			} catch {
				continue;
			}
		}
	};

	const announce = async () => sendToEntryHost('PUT', '', {
		incarnation,
		worker: options.worker,
		pool: options.pool,
		dataCentre: options.dataCentre,
		host,
		port,
		slots,
		connections: options.connections,
	});
	await announce();
	const renewal = setInterval(() => {
		void announce();
	}, renewPeriodMs);

	return {
		port,
		getRuns: () => runs,
		getMaximumRunning: () => maximumRunning,
		async leave() {
			clearInterval(renewal);
			await sendToEntryHost('POST', '/leave', {incarnation});
		},
		async close() {
			clearInterval(renewal);
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
