/**
 * A stand-in minion, as the users' pages describe it. A task runs for `taskMs`, or until it is stopped if its payload says so.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {call} from './http-call.js';

const pollMs = 5;
const heartbeatMs = 1500;

const readJson = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	return text === '' ? {} : JSON.parse(text);
};

/**
 * Starts a minion that reports to the control hosts.
 *
 * @param options - `createCheckpoint` returns what a run has saved, given its task and its start. `handleCall` may take over a call: it gets the path, the body and a function that carries the call out, and returns the
 * answer, or `undefined` for none. `onStart` and `onEnd` are called with each start and end of a run.
 */
export async function startMinion({
	id, machine = `m-${id}`, service, host, port, controlAddresses, taskMs = 1000, longRunningPayload = 'stays', capacity = {cpu: 32_000, memMb: 65_536, gpu: 0}, record, createCheckpoint = () => '', handleCall = async ({run}) => run(), onStart = () => undefined, onEnd = () => undefined,
}) {
	const bornAtMs = Date.now();
	const runs = new Map();
	const closed = new Map();
	let finished = [];
	let nextNumber = 1;
	let sequence = 0;
	let highestToken = 0;
	let leaseEndsAtMs = Number.POSITIVE_INFINITY;
	let isOver = false;
	let state = 'ready';
	const getClock = () => Date.now() - bornAtMs;

	const endRun = (task, how) => {
		const {run, startedAtMs} = runs.get(task);
		runs.delete(task);
		closed.set(task, Math.max(closed.get(task) ?? 0, run));
		finished.push([nextNumber, task, run, how, createCheckpoint(task, startedAtMs)]);
		nextNumber += 1;
		record(`minion ${id}: run ${run} of ${task} ended ${how}`);
		onEnd({task, run, how});
	};

	const endDueRuns = () => {
		for (const [task, {endsAtMs}] of runs) {
			if (getClock() > leaseEndsAtMs) {
				endRun(task, 'lapsed');
			} else if (Date.now() >= endsAtMs) {
				endRun(task, 'done');
			}
		}
	};

	const extendLease = deadlineMs => {
		if (typeof deadlineMs === 'number') {
			const until = Math.min(deadlineMs, getClock() + 6000);
			leaseEndsAtMs = leaseEndsAtMs === Number.POSITIVE_INFINITY ? until : Math.max(leaseEndsAtMs, until);
		}
	};

	const hold = async ({lastSeen = 0, waitMs = 0, deadlineMs}) => {
		endDueRuns();
		extendLease(deadlineMs);
		finished = finished.filter(([number]) => number > lastSeen);
		const untilMs = Date.now() + waitMs;
		while (finished.length === 0 && Date.now() < untilMs && server.listening) {
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- polls for an end
				setTimeout(resolve, pollMs);
			});
			endDueRuns();
		}

		return {
			status: 200, body: {
				clockMs: getClock(), born: bornAtMs, running: [...runs].map(([task, {run, isLongRunning, startedAtMs}]) => [task, run, createCheckpoint(task, startedAtMs), isLongRunning ? 100 : 50, 0]), finished: finished.slice(0, 500),
			},
		};
	};

	const start = ({task, runId, taskSpec, deadlineMs}) => {
		endDueRuns();
		if (runs.get(task)?.run === runId) {
			extendLease(deadlineMs);
			return {status: 200, body: {clockMs: getClock(), born: bornAtMs}};
		}

		if (runId <= (closed.get(task) ?? 0)) {
			extendLease(deadlineMs);
			return {status: 409, body: {clockMs: getClock(), born: bornAtMs, reason: 'old'}};
		}

		if (deadlineMs <= getClock()) {
			return {status: 409, body: {clockMs: getClock(), born: bornAtMs, reason: 'late'}};
		}

		extendLease(deadlineMs);
		const isLongRunning = taskSpec === longRunningPayload;
		runs.set(task, {
			run: runId, isLongRunning, startedAtMs: Date.now(), endsAtMs: isLongRunning ? Number.POSITIVE_INFINITY : Date.now() + taskMs,
		});
		record(`minion ${id}: run ${runId} of ${task} started`);
		onStart({task, run: runId, minion: id});
		return {status: 200, body: {clockMs: getClock(), born: bornAtMs}};
	};

	const execute = async (path, body) => {
		if ((body.fencingToken ?? 0) < highestToken) {
			return {status: 409, body: {clockMs: getClock(), born: bornAtMs, reason: 'fence'}};
		}

		highestToken = body.fencingToken ?? 0;
		if (path === '/hold') {
			return hold(body);
		}

		if (path === '/run-start') {
			return start(body);
		}

		if (path === '/run-stop') {
			if (runs.get(body.task)?.run <= body.runId) {
				endRun(body.task, 'stopped');
			}

			closed.set(body.task, Math.max(closed.get(body.task) ?? 0, body.runId));
		}

		return {status: 200, body: {clockMs: getClock(), born: bornAtMs}};
	};

	const handle = async (req, res) => {
		const body = await readJson(req);
		const isOther = req.headers['x-samphiremill-target-instance'] !== id;
		const answer = isOther ? {status: 421, body: {clockMs: getClock()}} : await handleCall({path: req.url, body, run: async () => execute(req.url, body)});
		if (answer === undefined || isOver || res.destroyed) {
			return;
		}

		const text = JSON.stringify(answer.body);
		res.writeHead(answer.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		res.end(text);
	};

	const server = createServer((req, res) => {
		handle(req, res).catch(() => {
			res.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port}, resolve);
	});

	const report = async () => {
		sequence += 1;
		const own = sequence;
		for (const address of controlAddresses) {
			// eslint-disable-next-line no-await-in-loop -- the next host after a failure
			const answer = await call({
				address, path: `/Instances.Heartbeat/${id}`, method: 'POST', timeoutMs: 1000, body: {
					service, address: `${host}:${port}`, zone: 'cork-east', version: 'v1', slots: 8, state, coldRemainingMs: 0, capacity, labels: ['a', 'r1-1'], clockMs: getClock(), sequence: own, born: bornAtMs, machine,
				},
			});
			if (answer.status === 200 || isOver) {
				return;
			}
		}
	};

	report();
	const reporting = setInterval(() => {
		report();
	}, heartbeatMs);
	const ending = setInterval(endDueRuns, pollMs);
	record(`minion ${id} of ${service} starts on machine ${machine} at ${host}:${port}`);
	return {
		id,
		bornAtMs,
		setDraining() {
			state = 'draining';
		},
		countRuns: () => runs.size,
		/** Ends the process without a word; what runs on it ends with it. */
		crash() {
			isOver = true;
			record(`minion ${id} ends, with ${runs.size} runs`);
			clearInterval(reporting);
			clearInterval(ending);
			for (const [task, {run}] of runs) {
				onEnd({task, run, how: 'crashed'});
			}

			runs.clear();
			server.closeAllConnections();
			server.close();
		},
	};
}
