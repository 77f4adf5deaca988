import {mkdtemp, rm} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {
	costaSecret, sertaoSecret, startTestDeployment, waitUntil, type Answer, type TestDeployment,
} from './test-deployment.js';

let deployments: TestDeployment[] = [];

const startDeployment = async (options?: {readonly folder?: string}) => {
	const deployment = await startTestDeployment(options);
	deployments.push(deployment);
	return deployment;
};

const formatAnswer = ({status, body, isReplayed}: Answer): string => {
	const text = body.startsWith('{') ? JSON.stringify(pickProblem(JSON.parse(body))) : body;
	return `${status}${isReplayed ? ' replayed' : ''} ${text}`;
};

const pickProblem = (document: unknown) => {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a problem document of the interface under test
	const {reason, ran, findings} = document as {reason?: string; ran?: string; findings?: unknown};
	return {reason, ran, findings};
};

afterEach(async () => {
	await Promise.all(deployments.map(async deployment => deployment.close()));
	deployments = [];
});

test('a job with an idempotency key runs once, however often it is sent', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1'});
	minion.answerImmediately(200);
	const reservation = {
		queue: 'reservations', secret: sertaoSecret, key: 'cloth-17', body: 'violet cloth, wake at six',
	};
	const transcript = [
		formatAnswer(await node.submit(reservation)),
		formatAnswer(await node.submit(reservation)),
		formatAnswer(await node.submit({...reservation, body: 'black cloth'})),
		formatAnswer(await node.submit({...reservation, secret: costaSecret})),
		formatAnswer(await node.submit({...reservation, secret: 'stolen'})),
		formatAnswer(await node.submit({queue: 'reservations', body: 'no key at all'})),
		formatAnswer(await node.submit({queue: 'questions', body: 'is the violet cloth free?'})),
		formatAnswer(await node.submit({queue: 'no-such-queue', body: ''})),
		`arrived: ${minion.listArrivals().join(' | ')}`,
	];
	expect(transcript).toMatchSnapshot();
});

test('a resend while the first request is running is refused and does not run the job again', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1'});
	const deposit = {
		queue: 'reservations', secret: sertaoSecret, key: 'deposit-1', body: 'charge ten',
	};
	const first = node.submit(deposit);
	await waitUntil(() => minion.countHeldJobs() === 1, 'the arrival of the first request');
	const second = await node.submit(deposit);
	minion.answerHeldJobs(200);
	expect([formatAnswer(await first), formatAnswer(second), formatAnswer(await node.submit(deposit))]).toMatchSnapshot();
	expect(minion.listArrivals()).toEqual(['charge ten']);
});

test('a non-idempotent job whose minion disconnects is never sent again', async () => {
	const {node, addMinion} = await startDeployment();
	const minions = [await addMinion({minion: 'counter-1', worker: 'worker-1'}), await addMinion({minion: 'counter-2', worker: 'worker-2'})];
	const deposit = {
		queue: 'reservations', secret: sertaoSecret, key: 'deposit-2', body: 'charge twenty',
	};
	const first = node.submit(deposit);
	const countArrivals = () => minions.reduce((total, minion) => total + minion.listArrivals().length, 0);
	await waitUntil(() => countArrivals() === 1, 'the arrival of the job');
	for (const minion of minions) {
		minion.disconnectHeldJobs();
		minion.answerImmediately(200);
	}

	expect([formatAnswer(await first), formatAnswer(await node.submit(deposit))]).toMatchSnapshot();
	expect(countArrivals()).toBe(1);
});

test('an idempotent job whose minion disconnects is retried and answered', async () => {
	const {node, addMinion} = await startDeployment();
	const minions = [await addMinion({minion: 'counter-1', worker: 'worker-1'}), await addMinion({minion: 'counter-2', worker: 'worker-2'})];
	const first = node.submit({
		queue: 'reservations', secret: sertaoSecret, body: 'count the cloths', headers: {'samphiremill-idempotent': 'true'},
	});
	await waitUntil(() => minions.some(minion => minion.countHeldJobs() === 1), 'the arrival of the job');
	for (const minion of minions) {
		minion.answerImmediately(200);
		minion.disconnectHeldJobs();
	}

	expect(formatAnswer(await first)).toBe('200 done: count the cloths');
});

test('a team runs at most as many jobs at once as its limit allows, and its other jobs wait', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1'});
	const jobs = Array.from({length: 5}, async (_, index) => node.submit({queue: 'reservations', secret: costaSecret, body: `job ${index}`}));
	await waitUntil(() => minion.countHeldJobs() === 2, 'the start of two jobs');
	const other = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'of the other team'});
	await waitUntil(() => minion.countHeldJobs() === 3, 'the start of the other team\'s job');
	expect(minion.listArrivals()).toHaveLength(3);
	minion.answerImmediately(200);
	minion.answerHeldJobs(200);
	const answers = await Promise.all([...jobs, other]);
	expect(answers.map(({status}) => status)).toEqual([200, 200, 200, 200, 200, 200]);
});

test('a lost attempt keeps its slot until the minion reports that the task has ended', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1', slots: 1});
	const lost = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'lost'});
	await waitUntil(() => minion.countHeldJobs() === 1, 'the start of the job');
	minion.disconnectHeldJobs({keepsRunning: true});
	expect(formatAnswer(await lost)).toBe('502 {"reason":"attemptLost","ran":"maybe"}');
	const next = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'next'});
	await waitUntil(() => minion.countTaskQueries() >= 3, 'the third query about the lost task');
	expect(minion.listArrivals()).toEqual(['lost']);
	minion.answerImmediately(200);
	minion.endDisconnectedTasks();
	expect(formatAnswer(await next)).toBe('200 done: next');
});

test('a planned stop completes all accepted jobs and accepts no new ones', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1', slots: 1});
	const running = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'running'});
	await waitUntil(() => minion.countHeldJobs() === 1, 'the start of the job');
	const waiting = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'waiting'});
	await waitUntil(() => node.daemon.runtime.getState().jobs.jobs.size === 2, 'the arrival of the second job');
	const stopped = node.daemon.stop();
	const late = await node.submit({queue: 'reservations', secret: sertaoSecret, body: 'late'}).then(formatAnswer, () => 'not accepted');
	minion.answerImmediately(200);
	minion.answerHeldJobs(200);
	expect([formatAnswer(await running), formatAnswer(await waiting), late]).toEqual(['200 done: running', '200 done: waiting', 'not accepted']);
	await stopped;
	expect(minion.listArrivals()).toEqual(['running', 'waiting']);
});

test('a resend after a restart gets the answer that was stored on disk before it', async () => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-test-'));
	const deposit = {
		queue: 'reservations', secret: sertaoSecret, key: 'deposit-3', body: 'charge thirty',
	};
	const before = await startTestDeployment({folder});
	const minion = await before.addMinion({minion: 'counter-1', worker: 'worker-1'});
	minion.answerImmediately(200);
	const first = formatAnswer(await before.node.submit(deposit));
	await before.close();
	const after = await startDeployment({folder});
	const next = await after.addMinion({minion: 'counter-1', worker: 'worker-1', incarnation: 2});
	next.answerImmediately(200);
	expect([first, formatAnswer(await after.node.submit(deposit))]).toMatchSnapshot();
	expect(next.listArrivals()).toEqual([]);
	await after.close();
	deployments = [];
	await rm(folder, {recursive: true});
});

test('a leaving minion gets no new jobs, and its running job is answered', async () => {
	const {node, addMinion} = await startDeployment();
	const leaving = await addMinion({minion: 'counter-1', worker: 'worker-1'});
	const first = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'first'});
	await waitUntil(() => leaving.countHeldJobs() === 1, 'the start of the job');
	const staying = await addMinion({minion: 'counter-2', worker: 'worker-2'});
	staying.answerImmediately(200);
	const left = await node.call({
		method: 'POST', path: '/v1/minions/counter-1/leave', body: '{"incarnation":1}',
	});
	const later = await Promise.all(Array.from({length: 20}, async (_, index) => node.submit({queue: 'reservations', secret: sertaoSecret, body: `later ${index}`})));
	leaving.answerHeldJobs(200);
	expect(left.status).toBe(200);
	expect(later.map(({status}) => status)).toEqual(later.map(() => 200));
	expect(formatAnswer(await first)).toBe('200 done: first');
	expect(leaving.listArrivals()).toEqual(['first']);
});

test('a revoked key is refused, and the job that is running under it is answered', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1'});
	const running = node.submit({queue: 'reservations', secret: sertaoSecret, body: 'running'});
	await waitUntil(() => minion.countHeldJobs() === 1, 'the start of the job');
	const revoked = await node.callAsOperator({method: 'DELETE', path: '/v1/keys/sertao-1'});
	const refused = await node.submit({queue: 'reservations', secret: sertaoSecret, body: 'after'});
	minion.answerHeldJobs(200);
	expect(revoked.status).toBe(200);
	expect([formatAnswer(await running), formatAnswer(refused)]).toMatchSnapshot();
});

test('invalid input is refused, and later valid requests are answered', async () => {
	const {node, addMinion} = await startDeployment();
	const minion = await addMinion({minion: 'counter-1', worker: 'worker-1'});
	minion.answerImmediately(200);
	const sendRaw = async (text: string): Promise<string> => new Promise(resolve => {
		const socket = net.connect(node.daemon.httpPort, node.daemon.httpHost);
		let received = '';
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		socket.on('close', () => {
			resolve(received.split('\r\n', 1)[0] ?? '');
		});
		socket.on('error', () => {
			resolve('connection error');
		});
		socket.end(text);
	});
	const transcript = {
		oversized: formatAnswer(await node.submit({queue: 'questions', body: 'x'.repeat(2000)})),
		headers: formatAnswer(await node.submit({queue: 'questions', body: '', headers: {'samphiremill-deadline-ms': 'soon', 'samphiremill-urgency': 'very'}})),
		brokenJson: formatAnswer(await node.call({method: 'PUT', path: '/v1/minions/counter-9', body: '{"incarnation":'})),
		unknownField: formatAnswer(await node.call({method: 'POST', path: '/v1/minions/counter-1/leave', body: '{"incarnation":1,"now":true}'})),
		method: formatAnswer(await node.call({method: 'PUT', path: '/v1/queues/questions/jobs', body: ''})),
		garbage: await sendRaw('NOT HTTP AT ALL\r\n\r\n'),
		headerFlood: await sendRaw(`GET /v1/health HTTP/1.1\r\nHost: a\r\n${'X-Flood: 0123456789\r\n'.repeat(2000)}\r\n`),
		halfClosed: await sendRaw('POST /v1/queues/questions/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc'),
		good: formatAnswer(await node.submit({queue: 'questions', body: 'still there?'})),
	};
	expect(transcript).toMatchSnapshot();
	expect(minion.listArrivals()).toEqual(['still there?']);
	await waitUntil(() => node.daemon.runtime.bodyBudget.getUsedBytes() === 0, 'the release of every body');
});
