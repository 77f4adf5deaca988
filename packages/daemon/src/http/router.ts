import type {IncomingMessage, ServerResponse} from 'node:http';
import {sendProblem} from './problem.js';
import type {HttpRoute} from './types.js';

type CompiledRoute = HttpRoute & {readonly segments: readonly string[]};

const decodeSegment = (segment: string): string | undefined => {
	try {
		return decodeURIComponent(segment);
	} catch {
		return undefined;
	}
};

const matchSegments = (pattern: readonly string[], actual: readonly string[]): Record<string, string> | undefined => {
	if (pattern.length !== actual.length) {
		return undefined;
	}

	const parameters: Record<string, string> = {};
	for (const [index, expected] of pattern.entries()) {
		const segment = actual[index] ?? '';
		if (!expected.startsWith('{')) {
			if (expected !== segment) {
				return undefined;
			}

			continue;
		}

		const value = decodeSegment(segment);
		if (value === undefined || value === '') {
			return undefined;
		}

		parameters[expected.slice(1, -1)] = value;
	}

	return parameters;
};

const parseTarget = (target: string) => {
	const [path = '', search = ''] = target.split('?', 2);
	return {segments: path.split('/'), query: new URLSearchParams(search)};
};

/**
 * Creates the listener for an HTTP server's `request` event, which passes each request to its route.
 *
 * @param options - `onUnexpectedError` is called if a route throws.
 */
export function createRouter({routes, onUnexpectedError}: {
	readonly routes: readonly HttpRoute[];
	readonly onUnexpectedError: (err: unknown, req: IncomingMessage) => void;
}): (req: IncomingMessage, res: ServerResponse) => void {
	const compiled: readonly CompiledRoute[] = routes.map(route => ({...route, segments: route.path.split('/')}));

	const run = async (req: IncomingMessage, res: ServerResponse) => {
		const {segments, query} = parseTarget(req.url ?? '');
		const allowedMethods: string[] = [];
		for (const route of compiled) {
			const parameters = matchSegments(route.segments, segments);
			if (parameters === undefined) {
				continue;
			}

			if (route.method === req.method) {
				// eslint-disable-next-line no-await-in-loop -- the first match ends the loop
				await route.handle({
					req, res, params: parameters, query,
				});
				return;
			}

			allowedMethods.push(route.method);
		}

		if (allowedMethods.length > 0) {
			res.setHeader('Allow', allowedMethods.join(', '));
			sendProblem(res, {
				status: 405, title: 'Method not allowed', reason: 'methodNotAllowed', ran: 'no',
			});
			return;
		}

		sendProblem(res, {
			status: 404, title: 'No such resource', reason: 'notFound', ran: 'no',
		});
	};

	return (req, res) => {
		run(req, res).catch((err: unknown) => {
			onUnexpectedError(err, req);
			sendProblem(res, {
				status: 500, title: 'Internal error', reason: 'internalError', ran: 'maybe',
			});
		});
	};
}
