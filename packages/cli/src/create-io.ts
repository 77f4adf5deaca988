import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {CliIo, HttpCall, HttpOutcome} from './types.js';

/** Error codes of failures that occur before any byte of the request is sent. */
const unsentCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT',
]);

async function sendRequest({endpoint, method, target, headers, body, timeoutMs}: HttpCall): Promise<HttpOutcome> {
	try {
		const response = await request(new URL(target, endpoint), {
			method,
			headers,
			...(body !== undefined && {body}),
			signal: AbortSignal.timeout(timeoutMs),
		});
		return {
			type: 'answered',
			status: response.statusCode,
			body: await response.body.text(),
			isStale: response.headers['samphiremill-fresh'] === 'false',
		};
	} catch (err) {
		const code = err instanceof Error && 'code' in err ? err.code : undefined;
		return {type: 'failed', isSent: !unsentCodes.has(code), message: err instanceof Error ? err.message : String(err)};
	}
}

/** Creates the I/O of the real process: its streams, files, clock and network. */
export function createIo(): CliIo {
	return {
		write(output) {
			process.stdout.write(output);
		},
		writeError(output) {
			process.stderr.write(output);
		},
		readText: async path => path === '-' ? text(process.stdin) : readFile(path, 'utf8'),
		request: sendRequest,
		async sleep(durationMs) {
			await sleep(durationMs);
		},
		getNowMs: () => performance.now(),
		createChangeId: () => randomUUID(),
		env: process.env,
	};
}
