/**
 * HTTP client of the entry hosts: tries the endpoints in order until one answers. Each change carries
 * a change id, so that a change which is resent, also to another endpoint, is applied only once.
 */
import {firstRetryDelayMs, maximumRetryDelayMs, requestTimeoutMs} from '../constants.js';
import type {
	ApiCall, ApiResult, CliIo, HttpOutcome, ProblemDocument,
} from '../types.js';

/** Configuration of the API client. */
export type ApiClientConfig = {
	readonly io: CliIo;
	readonly endpoints: readonly string[];
	readonly token: string;
	/** How long a request is retried. */
	readonly timeoutMs: number;
};

type AnsweredOutcome = Extract<HttpOutcome, {type: 'answered'}>;

const retryableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

function parseBody(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function isProblem(value: unknown): value is ProblemDocument {
	return typeof value === 'object' && value !== null && 'title' in value && 'reason' in value;
}

function toResult({status, body}: AnsweredOutcome): ApiResult {
	const document = parseBody(body);
	if (status < 300) {
		return {type: 'done', document};
	}

	return {
		type: 'refused',
		status,
		problem: isProblem(document) ? document : {title: `HTTP status ${status}`, reason: 'unexpectedAnswer'},
	};
}

function isFinal(outcome: HttpOutcome): outcome is AnsweredOutcome {
	return outcome.type === 'answered' && !retryableStatuses.has(outcome.status);
}

function describeOutcome(endpoint: string, outcome: HttpOutcome): string {
	return outcome.type === 'failed'
		? `${endpoint}: ${outcome.message}`
		: `${endpoint}: HTTP status ${outcome.status}`;
}

/** Returns whether the endpoint may have forwarded the request. Status 503 means that it has not. */
function mayHaveForwarded(outcome: HttpOutcome): boolean {
	return outcome.type === 'failed' ? outcome.isSent : outcome.status !== 503;
}

/**
 * Creates the function that sends requests. It tries the endpoints in order, round after round, until
 * one gives a final answer or the timeout has passed.
 *
 * @param cfg - The endpoints in order of preference, the token and the timeout.
 */
export function createApiClient({
	io, endpoints, token, timeoutMs,
}: ApiClientConfig): (call: ApiCall) => Promise<ApiResult> {
	const send = async (endpoint: string, {method, target, headers, document}: ApiCall) => io.request({
		endpoint,
		method,
		target,
		headers: {
			authorization: `Bearer ${token}`,
			...(document !== undefined && {'content-type': 'application/json'}),
			...headers,
		},
		...(document !== undefined && {body: JSON.stringify(document)}),
		timeoutMs: Math.min(requestTimeoutMs, timeoutMs),
	});

	const warnIfStale = (endpoint: string, {isStale}: AnsweredOutcome) => {
		if (isStale === true) {
			io.writeError(`${endpoint} has a stale configuration; its records may be out of date\n`);
		}
	};

	return async call => {
		const deadlineMs = io.getNowMs() + timeoutMs;
		let mayHaveBeenAccepted = false;
		let delayMs = firstRetryDelayMs;
		for (;;) {
			let message = 'no endpoint is configured';
			for (const endpoint of endpoints) {
				// eslint-disable-next-line no-await-in-loop -- endpoints are tried one at a time
				const outcome = await send(endpoint, call);
				if (isFinal(outcome)) {
					warnIfStale(endpoint, outcome);
					return toResult(outcome);
				}

				mayHaveBeenAccepted ||= mayHaveForwarded(outcome);
				message = describeOutcome(endpoint, outcome);
			}

			if (io.getNowMs() + delayMs >= deadlineMs) {
				return {type: 'unreachable', ran: mayHaveBeenAccepted && call.method !== 'GET' ? 'maybe' : 'no', message};
			}

			// eslint-disable-next-line no-await-in-loop -- a pause between rounds
			await io.sleep(delayMs);
			delayMs = Math.min(delayMs * 2, maximumRetryDelayMs);
		}
	};
}
