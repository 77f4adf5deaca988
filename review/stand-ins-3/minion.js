/**
 * A stand-in of one minion, as the users' pages describe it. It reports itself to the control hosts, keeps a lease, a fencing token and a
 * list of ends, and records each start, end and change of its capacity.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {
	bounds, callHttp, heartbeatMs, sleep,
} from './cluster.js';

const pollMs = 5;
const servingPercent = 100;
const highestPercent = 99;
const maximumListedEnds = 500;

const readJson = async req => {
	let text = '';
	for await (const chunk of req.setEncoding('utf8')) {
		text += chunk;
	}

	return text === '' ? {} : JSON.parse(text);
};

const send = (res, status, body) => {
	if (res.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(text).length});
	res.end(text);
};

/**
 * Starts a minion. It does not report before `beginReports` is called.
 *
 * @param options - `describeTask` returns the request of a task and how long it runs, `undefined` for one that lasts; `isIgnored` tells
 * whether an order gets no answer and is not carried out; `getLatenessMs` returns after how many milliseconds one is carried out that gets
 * no answer, or `undefined`; `hasTicket` tells whether a start has a valid ticket; `measureRun` returns the fifth entry of the row of a run; `onEvent` is called with each start, end and change of the capacity.
 */
export async function startMinion({
	id, service, host, port, capacity: initialCapacity, labels, describeTask, isIgnored = () => false, getLatenessMs = () => undefined, measureRun = () => 0,
	hasTicket = () => true, record, onEvent = () => undefined,
}) {
	let bornAtMs = Date.now();
	let startedAtMs = performance.now();
	let isDown = false;
	let isCut = false;
	const runs = new Map();
	const closedRuns = new Map();
	let finished = [];
	let nextNumber = 1;
	let sequence = 0;
	let fencingToken = 0;
	let leaseEndsAtMs = Number.POSITIVE_INFINITY;
	let capacity = initialCapacity;
	let isClosed = false;
	let heartbeatAddress;

	const getClock = () => Math.floor(performance.now() - startedAtMs);

	const emit = event => {
		onEvent({
			minion: id, atMs: performance.now(), running: [...runs.values()], capacity, ...event,
		});
	};

	const endRun = (task, ending) => {
		const run = runs.get(task);
		runs.delete(task);
		closedRuns.set(task, Math.max(run.run, closedRuns.get(task) ?? 0));
		finished.push([nextNumber, task, run.run, ending, '']);
		nextNumber += 1;
		emit({
			type: 'ended', task, run: run.run, ending,
		});
	};

	const endDueRuns = () => {
		if (isDown) {
			return;
		}

		for (const [task, {endsAtMs}] of runs) {
			if (getClock() > leaseEndsAtMs) {
				endRun(task, 'lapsed');
			} else if (performance.now() >= endsAtMs) {
				endRun(task, 'done');
			}
		}
	};

	const extendLease = ({deadlineMs}) => {
		if (typeof deadlineMs === 'number') {
			const granted = Math.min(deadlineMs, getClock() + bounds.maxHoldMs);
			leaseEndsAtMs = leaseEndsAtMs === Number.POSITIVE_INFINITY ? granted : Math.max(leaseEndsAtMs, granted);
		}
	};

	const listRunning = () => [...runs].map(([task, {run, beganAtMs, endsAtMs}]) => {
		const percent = endsAtMs === Number.POSITIVE_INFINITY
			? servingPercent
			: Math.min(highestPercent, Math.floor(100 * (performance.now() - beganAtMs) / (endsAtMs - beganAtMs)));
		return [task, run, '', percent, measureRun({minion: id, task, runs})];
	});

	const hold = async body => {
		endDueRuns();
		extendLease(body);
		const confirmed = finished.filter(([number]) => number <= body.lastSeen);
		finished = finished.filter(([number]) => number > body.lastSeen);
		for (const [, task, run, ending] of confirmed) {
			emit({
				type: 'confirmed', task, run, ending,
			});
		}

		const untilMs = performance.now() + (body.waitMs ?? 0);
		while (finished.length === 0 && performance.now() < untilMs) {
			await sleep(pollMs); // eslint-disable-line no-await-in-loop -- polls for an end
			endDueRuns();
		}

		return {
			clockMs: getClock(), born: bornAtMs, running: listRunning(), finished: finished.slice(0, maximumListedEnds),
		};
	};

	const refuse = reason => ({status: 409, body: {clockMs: getClock(), reason}});

	const accept = () => ({status: 200, body: {clockMs: getClock()}});

	const start = body => {
		const {task, runId, taskSpec} = body;
		endDueRuns();
		extendLease(body);
		if (runs.get(task)?.run === runId) {
			return accept();
		}

		if (runId <= (closedRuns.get(task) ?? 0) || runs.has(task)) {
			return refuse('old');
		}

		if (getClock() >= body.deadlineMs) {
			return refuse('late');
		}

		if (!hasTicket({minion: id, ...body})) {
			return refuse('ticket');
		}

		const {request, durationMs} = describeTask(task, taskSpec);
		runs.set(task, {
			task, run: runId, request, percent: 100, beganAtMs: performance.now(), endsAtMs: durationMs === undefined ? Number.POSITIVE_INFINITY : performance.now() + durationMs,
		});
		emit({type: 'started', task, run: runId});
		return accept();
	};

	const stop = ({task, runId}) => {
		closedRuns.set(task, Math.max(runId, closedRuns.get(task) ?? 0));
		if (runs.get(task)?.run <= runId) {
			endRun(task, 'stopped');
		}

		return accept();
	};

	const pace = ({task, runId, percent}) => {
		const run = runs.get(task);
		if (run?.run !== runId) {
			return {status: 409, body: {clockMs: getClock()}};
		}

		setTimeout(() => {
			run.percent = percent;
		}, bounds.pacingMs);
		return accept();
	};

	const execute = async (path, body) => {
		if ((body.fencingToken ?? 0) < fencingToken) {
			return refuse('fence');
		}

		fencingToken = body.fencingToken;
		switch (path) {
			case '/hold': {
				return {status: 200, body: await hold(body)};
			}

			case '/run-start': {
				return start(body);
			}

			case '/run-stop': {
				return stop(body);
			}

			case '/pace': {
				return pace(body);
			}

			default: {
				return accept();
			}
		}
	};

	const forgetAll = () => {
		const lost = [...runs.values()];
		runs.clear();
		closedRuns.clear();
		finished = [];
		nextNumber = 1;
		sequence = 0;
		fencingToken = 0;
		leaseEndsAtMs = Number.POSITIVE_INFINITY;
		heartbeatAddress = undefined;
		return lost;
	};

	const beginLife = () => {
		bornAtMs = Math.max(Date.now(), bornAtMs + 1);
		startedAtMs = performance.now();
	};

	const server = createServer(async (req, res) => {
		const body = await readJson(req).catch(() => undefined);
		// What is sent during a cut does not arrive.
		if (body === undefined || isCut) {
			return;
		}

		const target = req.headers['x-samphiremill-target-instance'];
		if (target !== undefined && target !== id) {
			send(res, 421, {clockMs: getClock()});
			return;
		}

		if (isIgnored(id, req.url, body)) {
			record(`${id} leaves ${req.url} ${body.task ?? ''}#${body.runId ?? ''} without an answer and does not carry it out`);
			return;
		}

		const latenessMs = getLatenessMs({minion: id, path: req.url, body});
		if (latenessMs !== undefined) {
			record(`${id} gives no answer to ${req.url} ${body.task}#${body.runId} ${body.percent ?? ''} and carries it out ${latenessMs} ms later`);
			await sleep(latenessMs);
			const late = await execute(req.url, body);
			record(`${id} carries out ${req.url} ${body.task}#${body.runId} ${body.percent ?? ''} late: ${late.status}`);
			emit({type: 'lateOrder', path: req.url});
			return;
		}

		const {status, body: answer} = await execute(req.url, body);
		if (req.url === '/pace') {
			record(`${id} answers the pace ${body.percent} of ${body.task}#${body.runId} with ${status}`);
		}

		if (req.url === '/run-start') {
			record(`${id} answers the start of ${body.task}#${body.runId} with ${status} ${answer.reason ?? ''}`);
		}

		if (!isCut) {
			send(res, status, answer);
		}
	});
	server.listen({host, port});
	await once(server, 'listening');
	const endingTimer = setInterval(endDueRuns, pollMs);

	const report = async controlAddresses => {
		sequence += 1;
		const body = {
			service,
			address: `${host}:${port}`,
			zone: 'cork-east',
			version: 'v1',
			slots: 8,
			state: 'ready',
			coldRemainingMs: 0,
			capacity,
			labels,
			clockMs: getClock(),
			sequence,
			born: bornAtMs,
			machine: `m-${id}`,
		};
		for (const address of [heartbeatAddress, ...controlAddresses].filter(Boolean)) {
			// eslint-disable-next-line no-await-in-loop -- the next host is asked only when this one fails
			const answer = await callHttp({
				address, method: 'POST', target: `/Instances.Heartbeat/${id}`, body, timeoutMs: 1000,
			});
			if (answer.status >= 200 && answer.status < 300) {
				heartbeatAddress = answer.body?.heartbeatUrl?.replace(/^http:\/\//v, '') ?? heartbeatAddress;
				return answer.status;
			}

			heartbeatAddress = undefined;
		}

		return 0;
	};

	return {
		id,
		report,
		getCapacity: () => capacity,
		/** Changes the capacity; the next report shows it. */
		setCapacity(changed) {
			capacity = changed;
			emit({type: 'resized'});
		},
		listRunning: () => [...runs.values()],
		async beginReports(controlAddresses, onReported = () => undefined) {
			while (!isClosed) { // eslint-disable-line no-unmodified-loop-condition -- `close` ends it
				if (isDown || isCut) {
					await sleep(pollMs); // eslint-disable-line no-await-in-loop -- until it is back
					continue;
				}

				const reported = capacity;
				const status = await report(controlAddresses); // eslint-disable-line no-await-in-loop -- one report after the other
				onReported({minion: id, status, capacity: reported});
				await sleep(heartbeatMs); // eslint-disable-line no-await-in-loop -- one report after the other
			}
		},
		/** Ends the minion with all its runs. It listens again after `downMs`, under its old id, and knows nothing of before. */
		async crash(downMs) {
			isDown = true;
			const lost = forgetAll();
			record(`${id} crashes under ${lost.map(({task, run}) => `${task}#${run}`).join(' ')}`);
			emit({type: 'crashed', lost});
			server.close();
			server.closeAllConnections();
			await sleep(downMs);
			if (isClosed) {
				return;
			}

			beginLife();
			server.listen({host, port});
			await once(server, 'listening');
			isDown = false;
			record(`${id} is back`);
		},
		/** Cuts the minion off for a time. It crashes behind the cut, and is back at once under its old id, with nothing of before. */
		async cutAndRestart(cutMs) {
			isCut = true;
			const lost = forgetAll();
			record(`${id} is cut off, and crashes behind the cut under ${lost.map(({task, run}) => `${task}#${run}`).join(' ')}`);
			emit({type: 'crashed', lost});
			beginLife();
			await sleep(cutMs);
			isCut = false;
			record(`${id} is not cut off any more`);
		},
		close() {
			isClosed = true;
			clearInterval(endingTimer);
			server.closeAllConnections();
			server.close();
		},
	};
}
