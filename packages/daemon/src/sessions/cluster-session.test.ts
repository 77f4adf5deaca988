import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {startProcessCluster, type ClusterMember, type ProcessCluster} from './test-processes.js';
import {sertaoSecret, waitUntil} from './test-deployment.js';

let cluster: ProcessCluster;
let nextBody = 0;

beforeAll(async () => {
	cluster = await startProcessCluster();
}, 60_000);

afterAll(async () => {
	await cluster.close();
});

const resendDelayMs = 100;
const sendTimeoutMs = 3000;
const sendDeadlineMs = 60_000;

type SendResult = {
	readonly body: string;
	readonly status: number;
	readonly reason: string;
};

const sendOnce = async (member: ClusterMember, body: string): Promise<SendResult> => {
	try {
		const answer = await request(`${member.origin}/v1/queues/reservations/jobs`, {
			method: 'POST',
			body,
			headers: {
				authorization: `Bearer ${sertaoSecret}`, 'idempotency-key': `recife/${body}`, 'samphiremill-urgency': 'urgent', 'samphiremill-deadline-ms': '2000',
			},
			headersTimeout: sendTimeoutMs,
			bodyTimeout: sendTimeoutMs,
		});
		const text = await answer.body.text();
		const document: unknown = text.startsWith('{') ? JSON.parse(text) : undefined;
		const reason = typeof document === 'object' && document !== null && 'reason' in document ? String(document.reason) : '';
		return {body, status: answer.statusCode, reason};
	} catch (err) {
		return {body, status: 0, reason: err instanceof Error ? err.message : ''};
	}
};

/** Sends one job as a careful caller does: resends it with the same key to the next entry host until it gets a final answer or the deadline has passed. */
const sendUntilAnswered = async (members: readonly ClusterMember[]): Promise<SendResult> => {
	const body = `deposit ${nextBody}`;
	const startIndex = nextBody;
	nextBody += 1;
	const deadlineAtMs = Date.now() + sendDeadlineMs;
	for (let attempt = 0; ; attempt += 1) {
		const member = members[(startIndex + attempt) % members.length];
		// eslint-disable-next-line no-await-in-loop -- one send after the other
		const result = member === undefined ? {body, status: 0, reason: 'no member'} : await sendOnce(member, body);
		const isFinal = result.status === 200 || result.reason === 'attemptLost' || result.reason === 'answerNotKept';
		if (isFinal || Date.now() > deadlineAtMs) {
			return result;
		}

		await delay(resendDelayMs); // eslint-disable-line no-await-in-loop -- one send after the other
	}
};

const getLocalMembers = () => cluster.members.filter(({dataCentre}) => dataCentre === 'recife');
const countRuns = (body: string): number => cluster.minions.flatMap(minion => minion.listArrivals()).filter(arrived => arrived === body).length;

const sendJobsDuring = async (jobCount: number, disrupt: () => Promise<void>): Promise<readonly SendResult[]> => {
	const jobs = Array.from({length: jobCount}, async (_, index) => {
		await delay(index * 25);
		return sendUntilAnswered(getLocalMembers());
	});
	await disrupt();
	return Promise.all(jobs);
};

const expectRunAtMostOnce = (answers: readonly SendResult[]) => {
	expect(answers.map(({body}) => countRuns(body)).filter(count => count > 1)).toEqual([]);
};

const expectAllAnswered = (answers: readonly SendResult[]) => {
	expect(answers.filter(({status, reason}) => status !== 200 && reason !== 'attemptLost')).toEqual([]);
	expectRunAtMostOnce(answers);
};

test('a cluster of five entry hosts answers every job and runs none twice', async () => {
	for (const minion of cluster.minions) {
		minion.answerImmediately(200);
	}

	const answers = await sendJobsDuring(40, async () => undefined);
	expect(answers.filter(({status}) => status !== 200)).toEqual([]);
	expectRunAtMostOnce(answers);
}, 120_000);

test('a change that one entry host accepts comes into force on all five', async () => {
	const [first, second] = cluster.members;
	if (first === undefined || second === undefined) {
		throw new TypeError('the cluster has no members');
	}

	const document = JSON.stringify({
		apiVersion: 'samphiremill/v2', kind: 'team', id: 'natal', displayName: 'Natal',
	});
	const put = await cluster.callAsOperator(first, {method: 'PUT', path: '/v1/records/team/natal', body: document});
	expect(put.status).toBeLessThan(300);
	await waitUntil(async () => {
		const seen = await Promise.all(cluster.members.map(async member => cluster.callAsOperator(member, {method: 'GET', path: '/v1/records/team/natal'})));
		return seen.every(({status}) => status === 200);
	}, 'the change on all hosts');
	const status = await cluster.callAsOperator(second, {method: 'GET', path: '/v1/status'});
	expect(JSON.parse(status.body)).toMatchObject({inForce: {hosts: 5, ofHosts: 5}});
}, 120_000);

test('jobs are answered, and none runs twice, while an entry host is killed and restarted', async () => {
	const [, victim] = getLocalMembers();
	const answers = await sendJobsDuring(120, async () => {
		await delay(500);
		await victim?.kill();
		await delay(1500);
		await victim?.start();
	});
	expectAllAnswered(answers);
}, 180_000);

test('jobs are answered, and none runs twice, while an entry host is paused for longer than its leases', async () => {
	const victim = getLocalMembers()[2];
	const answers = await sendJobsDuring(120, async () => {
		await delay(500);
		victim?.pause();
		await delay(4000);
		victim?.resume();
	});
	expectAllAnswered(answers);
}, 180_000);

test('a rolling restart of all entry hosts loses no job', async () => {
	const codes: Array<number | undefined> = [];
	const answers = await sendJobsDuring(200, async () => {
		for (const member of cluster.members) {
			codes.push(await member.stop()); // eslint-disable-line no-await-in-loop -- one after the other
			await member.start(); // eslint-disable-line no-await-in-loop -- one after the other
		}
	});
	expect(codes).toEqual([0, 0, 0, 0, 0]);
	expect(answers.filter(({status}) => status !== 200)).toEqual([]);
	expectRunAtMostOnce(answers);
}, 240_000);
