import {Buffer} from 'node:buffer';
import {createServer, STATUS_CODES, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	connectionsCheckingIntervalMs,
	headersTimeoutMs,
	idleSweepPeriodMs,
	keepAliveTimeoutMs,
	maximumHeaderBytes,
	maximumHeadersCount,
	requestTimeoutMs,
} from './constants.js';
import {formatProblem} from './problem.js';
import {createRouter} from './router.js';
import type {HttpRoute} from './types.js';

/** A running HTTP server. */
export type HttpServer = {
	readonly host: string;
	readonly port: number;
	/** Stops accepting connections and resolves once open requests have completed. */
	readonly close: () => Promise<void>;
};

const getClientErrorStatus = (code: string | undefined): number => {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return 431;
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400;
};

const answerClientError = (err: NodeJS.ErrnoException, socket: Socket): number => {
	const status = getClientErrorStatus(err.code);
	if (socket.writable && err.code !== 'ECONNRESET') {
		const title = STATUS_CODES[status] ?? 'Bad request';
		const body = formatProblem({
			status, title, reason: 'malformedRequest', ran: 'no',
		});
		socket.end([
			`HTTP/1.1 ${status} ${title}`,
			'Content-Type: application/problem+json',
			`Content-Length: ${Buffer.byteLength(body)}`,
			'Connection: close',
			'',
			body,
		].join('\r\n'));
		return status;
	}

	socket.destroy();
	return status;
};

const listen = async (server: Server, host: string, port: number): Promise<AddressInfo> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, host, () => {
		server.off('error', reject);
		const address = server.address();
		if (address === null || typeof address === 'string') {
			reject(new TypeError('The server has no IP address'));
			return;
		}

		resolve(address);
	});
});

// A kept-alive connection with an open request becomes idle only after the server closes, so idle connections are closed periodically.
const closeServer = async (server: Server): Promise<void> => new Promise(resolve => {
	const sweep = setInterval(() => {
		server.closeIdleConnections();
	}, idleSweepPeriodMs);
	server.close(() => {
		clearInterval(sweep);
		resolve();
	});
	server.closeIdleConnections();
});

/**
 * Starts an HTTP server with limits on headers, slow clients and connections.
 *
 * @param options - `host` is an IP number; `port` 0 selects any free port. `onClientError` is called on
 * malformed requests, `onUnexpectedError` if a route throws.
 * @throws The system's error if the address cannot be bound.
 */
export async function startHttpServer({host, port, maximumConnections, routes, onClientError, onUnexpectedError}: {
	readonly host: string;
	readonly port: number;
	readonly maximumConnections: number;
	readonly routes: readonly HttpRoute[];
	readonly onClientError: (status: number) => void;
	readonly onUnexpectedError: (err: unknown) => void;
}): Promise<HttpServer> {
	const router = createRouter({routes, onUnexpectedError});
	const server = createServer({
		headersTimeout: headersTimeoutMs,
		requestTimeout: requestTimeoutMs,
		keepAliveTimeout: keepAliveTimeoutMs,
		connectionsCheckingInterval: connectionsCheckingIntervalMs,
		maxHeaderSize: maximumHeaderBytes,
		noDelay: true,
	}, router);
	server.maxHeadersCount = maximumHeadersCount;
	server.maxConnections = maximumConnections;
	server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
		onClientError(answerClientError(err, socket));
	});
	const address = await listen(server, host, port);
	return {host: address.address, port: address.port, close: async () => closeServer(server)};
}
