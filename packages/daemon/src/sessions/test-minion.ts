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
	readonly answerImmediately: (status: number | undefined) => void;
	/** Answers the jobs that are held. */
	readonly answerHeldJobs: (status: number) => void;
	/** Cuts the connections of the jobs that are held. Their tasks end with them unless they are kept running. */
	readonly disconnectHeldJobs: (options?: {readonly keepsRunning: boolean}) => void;
	/** Ends the tasks that were kept running. */
	readonly endDisconnectedTasks: () => void;
	/** How often it was asked about a task that was kept running. */
	readonly countTaskQueries: () => number;
	readonly countHeldJobs: () => number;
	readonly close: () => Promise<void>;
};

/** @returns A minion that listens on a free port of the loopback address and holds every job. */
export async function startTestMinion(): Promise<TestMinion> {
	let heldJobs: readonly RunningJob[] = [];
	let arrivals: readonly string[] = [];
	let disconnectedJobs: readonly string[] = [];
	let taskQueryCount = 0;
	let status: number | undefined;

	const answer = ({body, res}: RunningJob, answerStatus: number) => {
		res.writeHead(answerStatus, {'content-type': 'text/plain'});
		res.end(`done: ${body}`);
	};

	const server = createServer((req, res) => {
		const job = req.url?.split('/')[2]?.split('?', 1)[0] ?? '';
		if (req.method === 'DELETE') {
			const isDisconnected = disconnectedJobs.includes(job);
			taskQueryCount += isDisconnected ? 1 : 0;
			const isRunning = isDisconnected || heldJobs.some(running => running.job === job);
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({state: isRunning ? 'running' : 'finished'}));
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
				heldJobs = [...heldJobs, {job, body, res}];
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

	const takeHeldJobs = () => {
		const taken = heldJobs;
		heldJobs = [];
		return taken;
	};

	return {
		port,
		listArrivals: () => arrivals,
		answerImmediately(next) {
			status = next;
		},
		answerHeldJobs(answerStatus) {
			for (const running of takeHeldJobs()) {
				answer(running, answerStatus);
			}
		},
		disconnectHeldJobs(options) {
			const taken = takeHeldJobs();
			disconnectedJobs = options?.keepsRunning === true ? taken.map(({job}) => job) : [];
			for (const {res} of taken) {
				res.socket?.destroy();
			}
		},
		endDisconnectedTasks() {
			disconnectedJobs = [];
		},
		countTaskQueries: () => taskQueryCount,
		countHeldJobs: () => heldJobs.length,
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
