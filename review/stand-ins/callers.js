/**
 * Stand-ins for the operator and for consumers.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './http.js';

const operatorTimeoutMs = 1000;
const consumerTimeoutMs = 3000;
const maximumRetries = 4;

/** Sends a config until it is acknowledged or refused, to one node after the other. */
export async function replaceConfig(config, {listControls, controlPort, record, untilMs = 60_000}) {
	const startedMs = Date.now();
	let backoffMs = 50;
	while (Date.now() - startedMs < untilMs) {
		for (const host of listControls()) {
			// eslint-disable-next-line no-await-in-loop -- one node after the other
			const {status} = await call({
				method: 'POST', host, port: controlPort, path: '/Config.Replace', body: config, timeoutMs: operatorTimeoutMs,
			});
			record(`operator: config ${config.version} sent to ${host}: ${status === 0 ? 'no answer' : status}`);
			if (status === 200) {
				return true;
			}

			if ([400, 409, 412, 413, 422].includes(status)) {
				return false;
			}

			await sleep(backoffMs); // eslint-disable-line no-await-in-loop -- increasing backoff
			backoffMs = Math.min(1000, backoffMs * 2);
		}
	}

	return false;
}

/** Returns a config with one queue, one service and one tenant with these keys. */
export function createConfig({version, keys, standby = []}) {
	return {
		version,
		routes: [{
			name: 'r-alarm',
			host: 'alarm.example',
			pathPrefix: '/alarm/',
			routeType: 'non_idempotent',
			timeoutMs: 3000,
			targetLatencyMs: 600,
			priority: 0,
			service: 'alarm-desk',
			maxAttempts: 4,
			stretchFactor: 1.6,
			public: false,
		}],
		services: ['alarm-desk', ...standby].map(name => ({
			name, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, rejectsOverload: false, standby: name !== 'alarm-desk',
		})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{
			name: 'parish', apiKeys: keys, priority: 1, weight: 20, maximum: {cpu: 0, memMb: 0, gpu: 0},
		}],
	};
}

/** Returns a new job id. */
export const createJobId = () => randomBytes(8).toString('hex');

const callJob = async (method, id, {host, port, key, body}) => call({
	method, host, port, path: `/alarm/${id}`, headers: {Host: 'alarm.example', 'Api-Key': key, 'X-Samphiremill-Deadline-Ms': String(consumerTimeoutMs)}, body, timeoutMs: consumerTimeoutMs,
});

/**
 * Hands in a job. After no response, a 502 or a 504 it sends the same again to another entry host. Resolves to the
 * statuses of all attempts; 0 means no response.
 */
export async function submitJob({id, job, entries, port, key, record}) {
	const statuses = [];
	for (let attempt = 0; attempt <= maximumRetries; attempt++) {
		const host = entries[attempt % entries.length];
		const {status} = await callJob('POST', id, { // eslint-disable-line no-await-in-loop -- one attempt after the other
			host, port, key, body: job,
		});
		statuses.push(status);
		record(`consumer: POST ${id} at ${host}: ${status === 0 ? 'no answer' : status}`);
		if (![0, 502, 504].includes(status)) {
			break;
		}

		await sleep(100); // eslint-disable-line no-await-in-loop -- a short pause
	}

	return statuses;
}

/** Asks once for the state of a job. */
export async function readJob({id, host, port, key, record}) {
	const {status, body} = await callJob('GET', id, {host, port, key});
	record(`consumer: GET ${id} at ${host}: ${status === 0 ? 'no answer' : `${status} ${body.state ?? ''}`}`);
	return {status, state: body.state};
}

/** Asks once how many jobs of the queue have not started; `undefined` without an answer. */
export async function readPending({host, port, key, record}) {
	const {status, body} = await callJob('GET', '', {host, port, key});
	record(`consumer: GET of the pending jobs at ${host}: ${status === 0 ? 'no answer' : `${status} ${body.pending ?? ''}`}`);
	return status === 200 ? body.pending : undefined;
}
