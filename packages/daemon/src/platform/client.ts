import {
	createFailure, createSuccess, toBrand, type Result, type WorkerId,
} from '@samphiremill/common';
import {Pool} from 'undici';
import type * as z from 'zod/mini';
import {
	closedByName, maximumPlatformAnswerBytes, platformConnectionCount, platformTimeoutMs,
} from './constants.js';
import {hostListSchema, hostSchema} from './schema.js';
import type {PlatformClient, PlatformError, PlatformHostState} from './types.js';

type Call = {
	readonly method: 'GET' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
};

/**
 * Creates a client for the platform's HTTP interface. Its calls never reject.
 *
 * @param options - `timeoutMs` is the time limit for one call.
 */
export function createPlatformClient({url, timeoutMs = platformTimeoutMs}: {
	url: string;
	timeoutMs?: number;
}): PlatformClient {
	const pool = new Pool(new URL(url).origin, {
		connections: platformConnectionCount,
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
		connect: {timeout: timeoutMs},
		maxResponseSize: maximumPlatformAnswerBytes,
	});

	const call = async ({method, path, body}: Call): Promise<Result<string, PlatformError>> => {
		try {
			const res = await pool.request({
				method,
				path,
				headers: {accept: 'application/json', ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: JSON.stringify(body)}),
				signal: AbortSignal.timeout(timeoutMs),
			});
			const text = await res.body.text();
			return res.statusCode < 300
				? createSuccess(text)
				: createFailure({type: 'refused', status: res.statusCode, message: text.slice(0, 200)});
		} catch (err) {
			return createFailure({type: 'noAnswer', message: err instanceof Error ? err.message : String(err)});
		}
	};

	const command = async (input: Call): Promise<Result<void, PlatformError>> => {
		const result = await call(input);
		return result.ok ? createSuccess(undefined) : result;
	};

	const read = async <Document>(path: string, schema: z.ZodMiniType<Document>): Promise<Result<Document, PlatformError>> => {
		const result = await call({method: 'GET', path});
		return result.ok ? parseAnswer(result.value, schema) : result;
	};

	return {
		async getHost(host) {
			const result = await read(getHostPath(host), hostSchema);
			return result.ok ? createSuccess(createHostState(result.value)) : result;
		},
		async listClosedHosts() {
			const result = await read(`/v1/hosts?intake=closed&by=${closedByName}`, hostListSchema);
			return result.ok ? createSuccess(result.value.hosts.map(({host}) => toBrand<WorkerId>(host))) : result;
		},
		setIntake: async (host, intake) => command({method: 'PUT', path: `${getHostPath(host)}/intake`, body: {intake, by: closedByName}}),
		reboot: async (host, id) => command({method: 'PUT', path: `${getHostPath(host)}/reboots/${encodeURIComponent(id)}`}),
		checkpointTask: async (host, task) => command({method: 'PUT', path: `${getTaskPath(host, task)}/checkpoint`}),
		throttleTask: async ({host, task, share}) =>
			command({method: 'PUT', path: `${getTaskPath(host, task)}/throttle`, body: {share}}),
		stopTask: async (host, task) => command({method: 'DELETE', path: getTaskPath(host, task)}),
		close: async () => pool.close(),
	};
}

function getHostPath(host: WorkerId): string {
	return `/v1/hosts/${encodeURIComponent(host)}`;
}

function getTaskPath(host: WorkerId, task: string): string {
	return `${getHostPath(host)}/tasks/${encodeURIComponent(task)}`;
}

function parseAnswer<Document>(text: string, schema: z.ZodMiniType<Document>): Result<Document, PlatformError> {
	const json = parseJsonText(text);
	const parsed = schema.safeParse(json);
	if (parsed.success) {
		return createSuccess(parsed.data);
	}

	const findings = parsed.error.issues.map(({path, message}) => ({
		path: path.map(part => `/${String(part)}`).join(''), message,
	}));
	return createFailure({type: 'malformed', findings});
}

/** Parses JSON; returns `undefined`, which no schema accepts, if the text is not JSON. */
function parseJsonText(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function createHostState({host, intake, tasks, reboot}: z.infer<typeof hostSchema>): PlatformHostState {
	return {
		host: toBrand<WorkerId>(host), intake, tasks, ...(reboot !== undefined && {reboot}),
	};
}
