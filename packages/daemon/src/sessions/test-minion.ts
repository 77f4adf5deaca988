/**
 * A test minion that holds each job until the test answers it, and records the jobs that it received.
 */
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

type RunningJob = {
	readonly job: string;
	readonly body: string;
	readonly res: ServerResponse;
};

/** A minion that is controlled by a test. */
export type TestMinion = {
	readonly port: number;
	/** Lists the bodies of the received jobs in order of arrival. A job that is sent twice is listed twice. */
	readonly listArrivals: () => readonly string[];
	/** Makes the minion answer later jobs immediately with this status; with `undefined` it holds them. */
	readonly answerImmediately: (status: number | undefined) => void;
	/** Answers all held jobs with this status. */
	readonly answerHeldJobs: (status: number) => void;
	/** Closes the connections of all held jobs. Their tasks end too, unless `keepsRunning` is set. */
	readonly disconnectHeldJobs: (options?: {readonly keepsRunning: boolean}) => void;
	/** Ends the tasks that were kept running after their connections were closed. */
	readonly endDisconnectedTasks: () => void;
	/** Counts the requests about tasks that were kept running. */
	readonly countTaskQueries: () => number;
	readonly countHeldJobs: () => number;
	readonly close: () => Promise<void>;
};

/** Starts a minion on a free port of the loopback interface. At first it holds every job. */
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
