/**
 * A stand-in of the advice service. It handles one call at a time, in turn, also one whose caller has gone meanwhile, and returns 429 when
 * 32 calls wait. It approves all minions that it is asked about, and remembers the tickets.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {sleep} from './cluster.js';

const maximumWaiting = 32;

/**
 * Starts the service at an address.
 *
 * @param options - `policy` has the times of the queue's advice.
 */
export async function startAdvice({host, port, policy: {decisionMs, perWorkerMs, validityMs}, record}) {
	const tickets = new Map();
	const waiting = [];
	let isBusy = false;
	let nextTicket = 1;

	const handle = async ({res, step, workers, arrivedAtMs}) => {
		await sleep(decisionMs + (perWorkerMs * workers.length));
		const approved = workers.map(minion => {
			const ticket = `t-${nextTicket}`;
			nextTicket += 1;
			tickets.set(`${step} ${minion}`, {ticket, untilMs: performance.now() + validityMs});
			return [minion, ticket];
		});
		const isGone = res.destroyed;
		record(`the advice on ${step} for ${workers.length} minions is ready ${Math.round(performance.now() - arrivedAtMs)} ms after the call${isGone ? ', and its caller has gone' : ''}`);
		if (!isGone) {
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({approved, validityMs}));
		}
	};

	const handleNext = async () => {
		if (isBusy) {
			return;
		}

		isBusy = true;
		for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
			await handle(next); // eslint-disable-line no-await-in-loop -- one call at a time
		}

		isBusy = false;
	};

	const server = createServer(async (req, res) => {
		let text = '';
		for await (const chunk of req.setEncoding('utf8')) {
			text += chunk;
		}

		if (waiting.length >= maximumWaiting) {
			res.writeHead(429);
			res.end();
			return;
		}

		waiting.push({...JSON.parse(text), res, arrivedAtMs: performance.now()});
		await handleNext();
	});
	server.listen({host, port});
	await once(server, 'listening');
	return {
		/** Whether a ticket allows a step on a minion now. */
		isValid(step, minion, ticket) {
			const known = tickets.get(`${step} ${minion}`);
			return known?.ticket === ticket && performance.now() <= known.untilMs;
		},
		countWaiting: () => waiting.length,
		close() {
			waiting.length = 0;
			server.closeAllConnections();
			server.close();
		},
	};
}
