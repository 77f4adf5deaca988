/**
 * The network end of a minion's machine, as a process of its own, so that it can lose power: a stopped process answers nothing,
 * and once its short queue of new connections is full, further ones hang as those to a machine without power do.
 */
import {connect, createServer} from 'node:net';
import process from 'node:process';

const queueLength = 8;
const [host, port, targetHost, targetPort] = process.argv.slice(2);

const server = createServer(socket => {
	const target = connect({host: targetHost, port: Number(targetPort), noDelay: true});
	socket.setNoDelay(true);
	socket.pipe(target);
	target.pipe(socket);
	for (const [end, other] of [[socket, target], [target, socket]]) {
		end.on('error', () => {
			other.destroy();
		});
		end.on('close', () => {
			other.destroy();
		});
	}
});
server.listen({host, port: Number(port), backlog: queueLength}, () => {
	process.stdout.write('listens\n');
});
