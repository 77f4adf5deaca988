/**
 * Types shared by the HTTP server and its routes.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A request and its response, as a route gets them. */
export type HttpExchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Decoded values of the `{name}` segments of the route's path. */
	readonly params: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
};

/** One route of the HTTP interface. */
export type HttpRoute = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** A path with variable segments of the form `{name}`. */
	readonly path: string;
	readonly handle: (exchange: HttpExchange) => Promise<void>;
};

/** A refusal, as an RFC 9457 problem document that also states whether the work was run. */
export type Problem = {
	readonly status: number;
	readonly title: string;
	/** A machine-readable code. */
	readonly reason: string;
	readonly detail?: string;
	readonly ran: 'no' | 'maybe' | 'yes';
	readonly retryAfterMs?: number;
	/** The errors in the request, with their JSON pointers. */
	readonly findings?: ReadonlyArray<{readonly path: string; readonly message: string}>;
};
