/** HTTP calls of the stand-in consumers, minions and operator. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

const parseJson = text => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

/**
 * Makes one call on a connection of its own. The status is 0 if no complete answer arrived in time.
 *
 * @param options - `address` is an IP address and a port, `body` is sent as JSON.
 */
export async function call({address, path, method = 'GET', headers = {}, body, timeoutMs = 3000}) {
	const colon = address.lastIndexOf(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	return new Promise(resolve => {
		const req = request({
			host: address.slice(0, colon),
			port: Number(address.slice(colon + 1)),
			path,
			method,
			headers: {...headers, connection: 'close', ...(text !== undefined && {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text))})},
			agent: false,
		}, res => {
			const chunks = [];
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			res.on('end', () => {
				clearTimeout(timer);
				const content = Buffer.concat(chunks).toString('utf8');
				resolve({status: res.statusCode, body: parseJson(content), text: content});
			});
			res.on('error', () => {
				resolve({status: 0});
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
			resolve({status: 0});
		}, timeoutMs);
		req.on('error', () => {
			clearTimeout(timer);
			resolve({status: 0});
		});
		req.end(text);
	});
}
