/**
 * What the HTTP surface and its routes agree on.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** One request on its way through a route. */
export type HttpExchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Values of the `{name}` segments of the route's path, decoded. */
	readonly params: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
};

/** One route, registered in one place. */
export type HttpRoute = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** A path whose variable segments are written `{name}`. */
	readonly path: string;
	readonly handle: (exchange: HttpExchange) => Promise<void>;
};

/** A refusal as RFC 9457 writes it, with whether the work was run. */
export type Problem = {
	readonly status: number;
	readonly title: string;
	/** A machine-readable reason. */
	readonly reason: string;
	readonly detail?: string;
	readonly ran: 'no' | 'maybe' | 'yes';
	readonly retryAfterMs?: number;
	/** What is wrong in the request, with its place. */
	readonly findings?: ReadonlyArray<{readonly path: string; readonly message: string}>;
};
