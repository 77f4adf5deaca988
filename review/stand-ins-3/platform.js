/**
 * A stand-in of the platform's machine interface. It lists the machines of the minions as up in their pools, and refuses each order as busy,
 * since no machine is to leave its pool here.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Starts the interface at an address. `listMachines` returns the rows of its list. */
export async function startPlatform({host, port, listMachines, record}) {
	const server = createServer((req, res) => {
		const isList = req.method === 'GET' && req.url.startsWith('/machines');
		if (!isList) {
			record(`the platform refuses ${req.method} ${req.url} as busy`);
		}

		res.writeHead(isList ? 200 : 409, {'content-type': 'application/json'});
		res.end(JSON.stringify(isList ? {machines: listMachines(), nextToken: null} : {reason: 'busy'}));
	});
	server.listen({host, port});
	await once(server, 'listening');
	return {
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
