/**
 * Sends attempts to minions over HTTP/1.1, with a limited number of connections per minion, and reports
 * for each failed attempt whether the minion may have received it.
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {MinionId, TimerService} from '@samphiremill/common';
import {errors, Pool, type Dispatcher} from 'undici';
import {
	connectTimeoutMs, deadlineGraceMs, maximumIdleReuseMs, probeTimeoutMs, inactivityBeforeProbeMs,
} from './constants.js';
import {fenceAttempt, type FenceResult} from './fence-attempt.js';
import type {
	AttemptFailureKind, DispatchAttempt, DispatchHandlers, MinionClient, RunningAttempt,
} from './types.js';

type ClientContext = {
	readonly timers: TimerService;
	readonly getPool: (attempt: DispatchAttempt) => Pool;
};

/** Formats the origin of a minion's HTTP interface; `host` is an IP number. */
export const getOrigin = ({host, port}: {readonly host: string; readonly port: number}): string =>
	`http://${host.includes(':') ? `[${host}]` : host}:${port}`;

const getFailureKind = (err: Error): AttemptFailureKind => {
	if (err instanceof errors.ConnectTimeoutError) {
		return 'connectTimeout';
	}

	const code = 'code' in err ? err.code : undefined;
	return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' ? 'connectRefused' : 'reset';
};

const getHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const createHeaders = (attempt: DispatchAttempt, remainingMs: number): Record<string, string> => ({
	'content-type': attempt.contentType,
	'samphiremill-queue': attempt.queue,
	'samphiremill-team': attempt.team,
	'samphiremill-attempt': String(attempt.attempt),
	'samphiremill-deadline-ms': String(Math.max(1, Math.floor(remainingMs))),
});

/** Checks whether the minion refused the job as busy: a 503 with this header states that the job has not run. */
const isBusy = (status: number, headers: IncomingHttpHeaders): boolean =>
	status === 503 && getHeader(headers, 'samphiremill-ran') === 'no';

const runAttempt = ({timers, getPool}: ClientContext, attempt: DispatchAttempt, handlers: DispatchHandlers): RunningAttempt => {
	const sentAtMs = timers.getNow();
	const remainingMs = attempt.deadlineAtMs - sentAtMs;
	let isFirstByteSent = false;
	let isRefusedAsBusy = false;
	let hasEnded = false;
	let lastActivityAtMs: number = sentAtMs;
	let controller: Dispatcher.DispatchController | undefined;

	const end = (report: () => void) => {
		if (hasEnded) {
			return;
		}

		hasEnded = true;
		cancelDeadline();
		cancelInactivityCheck();
		report();
	};

	const fail = (kind: AttemptFailureKind, bytesSent: boolean) => {
		end(() => {
			handlers.onFailure({kind, bytesSent});
		});
	};

	const abort = (reason: string) => {
		controller?.abort(new Error(reason));
	};

	const handleFenceResult = (result: FenceResult) => {
		if (result.type === 'neverSeen') {
			fail('reset', false);
			abort('the connection is unresponsive and the minion has not received the job');
		}
	};

	const checkInactivity = () => {
		if (!isFirstByteSent || timers.getNow() - lastActivityAtMs < inactivityBeforeProbeMs) {
			return;
		}

		lastActivityAtMs = timers.getNow();
		void fenceAttempt({
			origin: getOrigin(attempt), job: attempt.job, attempt: attempt.attempt, mode: 'ifNeverSeen', timeoutMs: probeTimeoutMs,
		}).then(handleFenceResult);
	};

	const cancelDeadline = timers.scheduleOnce(remainingMs + deadlineGraceMs, () => {
		fail('timeout', isFirstByteSent);
		abort('the deadline passed');
	});
	const cancelInactivityCheck = timers.scheduleEvery(inactivityBeforeProbeMs / 2, checkInactivity);

	getPool(attempt).dispatch({
		method: 'POST',
		path: `/jobs/${encodeURIComponent(attempt.job)}`,
		headers: createHeaders(attempt, remainingMs),
		body: Buffer.from(attempt.body.buffer, attempt.body.byteOffset, attempt.body.byteLength),
		idempotent: false,
		headersTimeout: 0,
		bodyTimeout: 0,
	}, {
		onRequestStart(started) {
			controller = started;
			if (hasEnded) {
				started.abort(new Error('the attempt has already ended'));
				return;
			}

			isFirstByteSent = true;
			lastActivityAtMs = timers.getNow();
			handlers.onFirstByte();
		},
		onResponseStart(_controller, status, headers) {
			lastActivityAtMs = timers.getNow();
			if (isBusy(status, headers)) {
				isRefusedAsBusy = true;
				return;
			}

			handlers.onAnswerStart({status, contentType: getHeader(headers, 'content-type')});
		},
		onResponseData(current, chunk) {
			lastActivityAtMs = timers.getNow();
			if (!hasEnded && !isRefusedAsBusy && !handlers.onAnswerData(chunk)) {
				current.pause();
			}
		},
		onResponseEnd() {
			if (isRefusedAsBusy) {
				fail('busy', false);
				return;
			}

			end(handlers.onAnswerEnd);
		},
		onResponseError(_controller, err) {
			fail(getFailureKind(err), isFirstByteSent);
		},
	});

	return {
		cancel() {
			void fenceAttempt({
				origin: getOrigin(attempt), job: attempt.job, attempt: attempt.attempt, mode: 'always', timeoutMs: probeTimeoutMs,
			}).then(({type}) => {
				// Only the minion's answer frees the slot, because a task that is still ending holds it.
				const isSlotFree = type === 'stopped' || type === 'finished' || type === 'neverSeen';
				fail(isSlotFree ? 'stopped' : 'timeout', isFirstByteSent);
				abort('the attempt was cancelled');
			});
		},
		resume() {
			controller?.resume();
		},
	};
};

/** Creates the client that sends this node's attempts to its minions. */
export function createMinionClient({timers}: {readonly timers: TimerService}): MinionClient {
	const pools = new Map<MinionId, {readonly origin: string; readonly pool: Pool}>();

	const getPool = (attempt: DispatchAttempt): Pool => {
		const origin = getOrigin(attempt);
		const existing = pools.get(attempt.minion);
		if (existing?.origin === origin) {
			return existing.pool;
		}

		// A restarted minion may listen on another address. Attempts in flight at the old address continue.
		void existing?.pool.close();
		const pool = new Pool(origin, {
			connections: attempt.maximumConnections,
			pipelining: 1,
			keepAliveTimeout: maximumIdleReuseMs,
			keepAliveMaxTimeout: maximumIdleReuseMs,
			connect: {timeout: connectTimeoutMs},
		});
		pools.set(attempt.minion, {origin, pool});
		return pool;
	};

	return {
		dispatch: (attempt, handlers) => runAttempt({timers, getPool}, attempt, handlers),
		forget(minion) {
			const existing = pools.get(minion);
			pools.delete(minion);
			void existing?.pool.close();
		},
		async close() {
			const all = [...pools.values()];
			pools.clear();
			await Promise.all(all.map(async ({pool}) => pool.close()));
		},
	};
}
