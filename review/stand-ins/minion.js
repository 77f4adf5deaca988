/**
 * A stand-in for a minion, by the page on the protocol: it reports itself, runs work units under a lease, and refuses what
 * the page says. Work units run for the milliseconds that their `taskSpec` names; those whose spec is `lasts` run on.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, serve} from './http.js';

const heartbeatMs = 1500;
const reportTimeoutMs = 1000;

// A machine without power does not respond.
const neverAnswer = once(new EventTarget(), 'answer');

const connectWaitMs = 40;
const mostQueued = 64;

const startFront = async (...args) => {
	const front = spawn(process.execPath, [path.join(import.meta.dirname, 'front.js'), ...args.map(String)], {stdio: ['ignore', 'pipe', 'inherit']});
	await once(front.stdout, 'data');
	return front;
};

// Opens connections until one hangs. Returns all of them.
const fillQueue = async (host, port) => {
	const sockets = [];
	for (let count = 0; count < mostQueued; count++) {
		const socket = connect({host, port});
		socket.on('error', () => undefined);
		sockets.push(socket);
		await sleep(connectWaitMs / 4); // eslint-disable-line no-await-in-loop -- one after the other
		if (socket.connecting) {
			await sleep(connectWaitMs); // eslint-disable-line no-await-in-loop -- one after the other
			if (socket.connecting) {
				break;
			}
		}
	}

	return sockets;
};

/** Starts a minion. If it has a `backHost`, it listens there, behind a process that can lose power. `record` takes one line for each start and end; `listControls` returns the control addresses. */
export async function startMinion({id, service, host, port, zone, controlPort, listControls, record, stopMs = 100, maxHoldMs = 6000, backHost}) {
	const bornMs = Date.now();
	const startedMs = performance.now();
	const runs = new Map();
	const closedRuns = new Map();
	const starts = [];
	let finished = [];
	let waiting = [];
	let nextNumber = 1;
	let fence = 0;
	let leaseMs = 0;
	let sequence = 0;
	let reportHost;
	let isStopped = false;
	let isGone = false;
	let onHold = () => undefined;

	const getClock = () => Math.floor(performance.now() - startedMs);

	const end = (task, how) => {
		const run = runs.get(task);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		runs.delete(task);
		closedRuns.set(task, Math.max(run.number, closedRuns.get(task) ?? 0));
		finished.push([nextNumber, task, run.number, how, '']);
		nextNumber += 1;
		record(`minion ${id}: ${task} run ${run.number} ended ${how}`);
		for (const wake of waiting) {
			wake();
		}

		waiting = [];
	};

	const leaseTimer = setInterval(() => {
		if (getClock() > leaseMs) {
			for (const task of runs.keys()) {
				end(task, 'lapsed');
			}
		}
	}, 10);

	const getPercent = ({lasts, durationMs, startedAtMs}) => lasts ? 100 : Math.min(99, Math.floor((getClock() - startedAtMs) / durationMs * 100));

	const extendLease = deadlineMs => {
		if (typeof deadlineMs === 'number') {
			leaseMs = Math.max(leaseMs, Math.min(deadlineMs, getClock() + maxHoldMs));
		}
	};

	const refuse = reason => ({status: 409, body: {clockMs: getClock(), reason}});

	const start = ({task, runId, taskSpec, deadlineMs}) => {
		if (runs.get(task)?.number === runId) {
			extendLease(deadlineMs);
			return {status: 200, body: {clockMs: getClock()}};
		}

		if (deadlineMs <= getClock()) {
			return refuse('late');
		}

		extendLease(deadlineMs);
		if (runId <= (closedRuns.get(task) ?? 0) || runs.has(task)) {
			return refuse('old');
		}

		const run = {
			number: runId, lasts: taskSpec === 'lasts', durationMs: Number(taskSpec), startedAtMs: getClock(), timer: undefined,
		};
		if (!run.lasts) {
			run.timer = setTimeout(() => {
				end(task, 'done');
			}, run.durationMs);
		}

		runs.set(task, run);
		starts.push({task, run: runId, atMs: Date.now()});
		record(`minion ${id}: ${task} run ${runId} started`);
		return {status: 200, body: {clockMs: getClock()}};
	};

	const stop = ({task, runId}) => {
		closedRuns.set(task, Math.max(runId, closedRuns.get(task) ?? 0));
		if (runs.has(task)) {
			setTimeout(() => {
				end(task, 'stopped');
			}, stopMs);
		}

		return {status: 200, body: {clockMs: getClock()}};
	};

	const hold = async ({lastSeen = 0, deadlineMs, waitMs = 0}) => {
		onHold();
		extendLease(deadlineMs);
		finished = finished.filter(([number]) => number > lastSeen);
		if (finished.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				waiting.push(resolve);
				setTimeout(resolve, waitMs);
			});
		}

		if (isGone) {
			return neverAnswer;
		}

		return {
			status: 200,
			body: {
				clockMs: getClock(), born: bornMs, running: [...runs].map(([task, run]) => [task, run.number, '', getPercent(run), 0]), finished: finished.slice(0, 500),
			},
		};
	};

	const server = await serve({host: backHost ?? host, port}, async (path, body, req) => {
		if (isGone) {
			return neverAnswer;
		}

		const target = req.headers['x-samphiremill-target-instance'];
		if (target !== undefined && target !== id) {
			return {status: 421, body: {clockMs: getClock()}};
		}

		const token = body.fencingToken ?? 0;
		if (token < fence) {
			return refuse('fence');
		}

		fence = token;
		switch (path) {
			case '/run-start': {
				return start(body);
			}

			case '/run-stop': {
				return stop(body);
			}

			case '/hold': {
				return hold(body);
			}

			default: {
				return {status: 200, body: {clockMs: getClock()}};
			}
		}
	});

	const report = async () => {
		if (isGone) {
			return;
		}

		sequence += 1;
		const body = {
			service,
			address: `${host}:${port}`,
			zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			coldRemainingMs: 0,
			capacity: {cpu: 32_000, memMb: 65_536, gpu: 0},
			labels: ['a', 'r1-1'],
			clockMs: getClock(),
			sequence,
			born: bornMs,
			machine: `m-${id}`,
		};
		for (const control of [...(reportHost === undefined ? [] : [reportHost]), ...listControls().toSorted(() => Math.random() - 0.5)]) {
			// eslint-disable-next-line no-await-in-loop -- the next node is called only if this one fails
			const answer = await call({
				method: 'POST', host: control, port: controlPort, path: `/Instances.Heartbeat/${id}`, body, timeoutMs: reportTimeoutMs,
			});
			if (answer.status >= 200 && answer.status < 300) {
				reportHost = answer.body.heartbeatUrl?.split(':')[0] ?? reportHost;
				return;
			}

			reportHost = undefined;
			if (isStopped) {
				return;
			}
		}
	};

	const front = backHost === undefined ? undefined : await startFront(host, port, backHost, port);
	let queued = [];
	let isReporting = false;
	const reportOnce = async () => {
		if (!isReporting) {
			isReporting = true;
			await report();
			isReporting = false;
		}
	};

	const reportTimer = setInterval(reportOnce, heartbeatMs);
	reportOnce();

	return {
		id,
		starts,
		countRuns: () => runs.size,
		listRuns: () => [...runs.keys()],
		isGone: () => isGone,
		/** Resolves when the next `hold` call arrives. */
		async waitForHold() {
			await new Promise(resolve => {
				onHold = resolve;
			});
			onHold = () => undefined;
		},
		/** Loses power for good: everything that runs ends, and nothing is answered any more. */
		async lose() {
			isGone = true;
			record(`minion ${id} is lost for good, with ${runs.size} runs`);
			for (const {timer} of runs.values()) {
				clearTimeout(timer);
			}

			runs.clear();
			front?.kill('SIGSTOP');
			if (front !== undefined) {
				queued = await fillQueue(host, port);
				record(`minion ${id}: new connections hang after ${queued.length}`);
			}
		},
		close() {
			isStopped = true;
			clearInterval(reportTimer);
			clearInterval(leaseTimer);
			front?.kill('SIGKILL');
			for (const socket of queued) {
				socket.destroy();
			}

			server.closeAllConnections();
			server.close();
		},
	};
}
