/**
 * JSON over HTTP/1.1 for the stand-ins.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, createServer, request} from 'node:http';

const agent = new Agent({keepAlive: true, maxSockets: 512});

/** Sends a request. Resolves to the status and body; status 0 means that no complete response came in time. */
export async function call({method, host, port, path, headers = {}, body, timeoutMs}) {
	const text = body === undefined ? undefined : JSON.stringify(body);
	return new Promise(resolve => {
		const req = request({
			agent, method, host, port, path, headers: {...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
		});
		const finish = result => {
			clearTimeout(timer);
			resolve(result);
		};

		const timer = setTimeout(() => {
			req.destroy();
			finish({status: 0, body: {}});
		}, timeoutMs);
		req.on('error', () => {
			finish({status: 0, body: {}});
		});
		req.on('response', res => {
			let content = '';
			res.setEncoding('utf8');
			res.on('data', part => {
				content += part;
			});
			res.on('error', () => {
				finish({status: 0, body: {}});
			});
			res.on('end', () => {
				let parsed;
				try {
					parsed = JSON.parse(content);
				} catch {
					parsed = {};
				}

				finish({status: res.statusCode, body: parsed});
			});
		});
		req.end(text);
	});
}

/** Serves JSON requests with `handle(path, body, req)`, which resolves to a status and a body. */
export async function serve({host, port}, handle) {
	const server = createServer(async (req, res) => {
		let content = '';
		req.setEncoding('utf8');
		try {
			for await (const part of req) {
				content += part;
			}
		} catch {
			return;
		}

		const {status, body} = await handle(req.url, content === '' ? {} : JSON.parse(content), req);
		if (!res.destroyed) {
			const text = JSON.stringify(body);
			res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
			res.end(text);
		}
	});
	server.keepAliveTimeout = 60_000;
	server.listen({host, port});
	await once(server, 'listening');
	return server;
}
