import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {assertNever} from '@samphiremill/common';
import {readBody, type BodyBudget, type ReadBodyError} from '../http/read-body.js';
import type {HttpExchange, HttpRoute, Problem} from '../http/types.js';
import {handleOperatorRequest} from './handle-operator-request.js';
import {createProblemResponse} from './respond.js';
import {operatorRoutes} from './routes.js';
import type {ApiRequest, ApiResponse, OperatorContext} from './types.js';

/** The daemon's context and the limits on bodies for the operators' routes. */
export type OperatorHttpConfig = {
	readonly ctx: OperatorContext;
	/** The memory that all bodies together may use. */
	readonly budget: BodyBudget;
	readonly maximumBodyBytes: number;
};

function toBodyProblem(err: ReadBodyError): Problem {
	switch (err.type) {
		case 'tooLarge': {
			return {
				status: 413, title: `The body is larger than ${err.maximumBytes} bytes`, reason: 'bodyTooLarge', ran: 'no',
			};
		}

		case 'truncated': {
			return {
				status: 400, title: 'The body ended early', reason: 'bodyTruncated', ran: 'no',
			};
		}

		case 'budgetFull': {
			return {
				status: 503, title: 'Too many bodies are being read', reason: 'bodyBudgetFull', ran: 'no', retryAfterMs: 1000,
			};
		}

		default: {
			return assertNever(err);
		}
	}
}

function normaliseHeaders(headers: IncomingHttpHeaders): ApiRequest['headers'] {
	return Object.fromEntries(Object.entries(headers)
		.map(([name, value]): [string, string | undefined] => [name, Array.isArray(value) ? value.join(', ') : value]));
}

function send({res}: HttpExchange, {status, headers, document}: ApiResponse): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const text = JSON.stringify(document);
	res.writeHead(status, {...headers, 'content-length': Buffer.byteLength(text)});
	res.end(text);
}

/**
 * Creates the HTTP routes of the operator API, for the router.
 */
export function createOperatorHttpRoutes({ctx, budget, maximumBodyBytes}: OperatorHttpConfig): readonly HttpRoute[] {
	return operatorRoutes.map((route): HttpRoute => ({
		method: route.method,
		path: route.path,
		async handle(exchange) {
			const {req, params, query} = exchange;
			const body = await readBody({req, maximumBytes: maximumBodyBytes, budget});
			if (!body.ok) {
				send(exchange, createProblemResponse(toBodyProblem(body.err)));
				return;
			}

			try {
				const text = Buffer.from(body.value).toString('utf8');
				send(exchange, await handleOperatorRequest({
					route,
					ctx,
					req: {
						params, query, headers: normaliseHeaders(req.headers), body: text,
					},
				}));
			} finally {
				budget.release(body.value.length);
			}
		},
	}));
}
