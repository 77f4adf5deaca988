import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Problem} from './types.js';

const millisecondsPerSecond = 1000;

/** Formats a refusal as a problem document (RFC 9457). */
export function formatProblem(problem: Problem): string {
	const {status, title, reason, detail, ran, retryAfterMs, findings} = problem;
	return JSON.stringify({
		type: `urn:samphiremill:problem:${reason}`, title, status, detail, reason, ran, retryAfterMs, findings,
	});
}

/** Answers a request with a refusal. Does nothing if an answer has already started. */
export function sendProblem(res: ServerResponse, problem: Problem): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const body = formatProblem(problem);
	if (problem.retryAfterMs !== undefined) {
		res.setHeader('Retry-After', Math.max(1, Math.ceil(problem.retryAfterMs / millisecondsPerSecond)));
	}

	res.writeHead(problem.status, {
		'Content-Type': 'application/problem+json',
		'Content-Length': Buffer.byteLength(body),
	});
	res.end(body);
}

/** Answers a request with a JSON document. Does nothing if an answer has already started. */
export function sendJson({res, status, document}: {
	readonly res: ServerResponse;
	readonly status: number;
	readonly document: unknown;
}): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const body = JSON.stringify(document);
	res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)});
	res.end(body);
}
