/**
 * A minion for tests: it runs each job until the test lets it finish, and counts what it runs.
 */
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

type RunningJob = {
	readonly job: string;
	readonly body: string;
	readonly res: ServerResponse;
};

/** A minion under a test's control. */
export type TestMinion = {
	readonly port: number;
	/** Bodies of the jobs that arrived, in order, one entry for each arrival. */
	readonly listArrivals: () => readonly string[];
	/** Answers all jobs from now on at once with this status; `undefined` holds them. */
	readonly answerAtOnce: (status: number | undefined) => void;
	/** Answers the jobs that are held. */
	readonly answerHeld: (status: number) => void;
	/** Cuts the connections of the jobs that are held. Their tasks end with them unless they are kept running. */
	readonly cutHeld: (options?: {readonly keepsRunning: boolean}) => void;
	/** Ends the tasks that were kept running. */
	readonly endCut: () => void;
	/** How often it was asked about a task that was kept running. */
	readonly countAsked: () => number;
	readonly countHeld: () => number;
	readonly close: () => Promise<void>;
};

/** @returns A minion that listens on a free port of the loopback address and holds every job. */
export async function startTestMinion(): Promise<TestMinion> {
	let held: readonly RunningJob[] = [];
	let arrivals: readonly string[] = [];
	let cut: readonly string[] = [];
	let asked = 0;
	let status: number | undefined;

	const answer = ({body, res}: RunningJob, answerStatus: number) => {
		res.writeHead(answerStatus, {'content-type': 'text/plain'});
		res.end(`done: ${body}`);
	};

	const server = createServer((req, res) => {
		const job = req.url?.split('/')[2]?.split('?', 1)[0] ?? '';
		if (req.method === 'DELETE') {
			const isCut = cut.includes(job);
			asked += isCut ? 1 : 0;
			const isHeld = isCut || held.some(running => running.job === job);
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({state: isHeld ? 'running' : 'finished'}));
			return;
		}

		let body = '';
		req.setEncoding('utf8');
		req.on('data', (chunk: string) => {
			body += chunk;
		});
		req.on('end', () => {
			arrivals = [...arrivals, body];
			if (status === undefined) {
				held = [...held, {job, body, res}];
			} else {
				answer({job, body, res}, status);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server that listens has this address
	const {port} = server.address() as AddressInfo;

	const takeHeld = () => {
		const taken = held;
		held = [];
		return taken;
	};

	return {
		port,
		listArrivals: () => arrivals,
		answerAtOnce(next) {
			status = next;
		},
		answerHeld(answerStatus) {
			for (const running of takeHeld()) {
				answer(running, answerStatus);
			}
		},
		cutHeld(options) {
			const taken = takeHeld();
			cut = options?.keepsRunning === true ? taken.map(({job}) => job) : [];
			for (const {res} of taken) {
				res.socket?.destroy();
			}
		},
		endCut() {
			cut = [];
		},
		countAsked: () => asked,
		countHeld: () => held.length,
		async close() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
