import {
	createFailure, createSuccess, toBrand, waitFor, type NodeId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createTestClusterClient} from './test-cluster-client.js';
import type {ClusterAnswer} from './types.js';

const attemptMs = 300;
const call = {type: 'limits/read'} as const;

const setUp = (error: 'peer/notSent' | 'peer/noAnswer') => {
	let attempts = 0;
	const testClient = createTestClusterClient(timers => async () => {
		attempts += 1;
		await waitFor(timers, attemptMs);
		return createFailure({type: error});
	});
	return {...testClient, countAttempts: () => attempts};
};

test('a call that should be given up before its first attempt is not sent', async () => {
	const {client, countAttempts} = setUp('peer/notSent');
	expect(await client.call(call, {timeoutMs: 3000, shouldGiveUp: () => true})).toEqual({type: 'notRun'});
	expect(countAttempts()).toBe(0);
});

test.each([['peer/notSent', 'notRun'], ['peer/noAnswer', 'uncertain']] as const)('a call that should be given up during an attempt ends after that attempt (%s: %s)', async (error, outcome) => {
	const {timers, client, passTime} = setUp(error);
	let endedAtMs = Number.POSITIVE_INFINITY;
	const result = client.call(call, {timeoutMs: 5000, shouldGiveUp: () => timers.getNow() >= 1000}).finally(() => {
		endedAtMs = timers.getNow();
	});
	await passTime(2000);
	expect(endedAtMs).toBeLessThanOrEqual(1000 + attemptMs + 100);
	expect(await result).toEqual({type: outcome});
});

test.each([[['lost', 'refused'], 'uncertain'], [['refused'], 'answered']] as const)('a refusal is passed on only if no earlier attempt may have been carried out (%j)', async (outcomes, expected) => {
	let attempt = 0;
	const refusal = {
		type: 'answer', leader: 'control-1', answer: {type: 'refused', reason: 'poolFull', retryAfterMs: 1000},
	};
	const {client, passTime} = createTestClusterClient(() => async () => {
		attempt += 1;
		return outcomes[attempt - 1] === 'lost' ? createFailure({type: 'peer/noAnswer'}) : createSuccess<unknown>(refusal);
	});
	const result = client.call(call, {timeoutMs: 3000});
	await passTime(1000);
	const {type} = await result;
	expect(type).toBe(expected);
});

// Review of issue 44, case 3: entry hosts refused callers for good once the control hosts had been replaced one by one under a leader that answered.
test.each([false, true])('the hosts that a leader names replace those of the settings, and are asked when it is gone (settings read again: %s)', async isReread => {
	const toNode = (name: string) => toBrand<NodeId>(name);
	let running = new Map<string, {readonly leader: string; readonly hosts?: readonly string[]}>([['a', {leader: 'a', hosts: ['a', 'b', 'c']}]]);
	const asked: string[] = [];
	const {client, passTime} = createTestClusterClient(timers => async ({to, timeoutMs}) => {
		asked.push(to);
		const host = running.get(to);
		if (host === undefined) {
			await waitFor(timers, timeoutMs);
			return createFailure({type: 'peer/noAnswer'});
		}

		return createSuccess<unknown>(host.leader === to
			? {
				type: 'answer', leader: to, answer: {type: 'noConfiguration'}, hosts: host.hosts,
			}
			: {type: 'notLeader', leader: host.leader, hosts: host.hosts});
	}, {seeds: ['a', 'b', 'c']});
	const callAndWait = async () => {
		const result = client.call(call, {timeoutMs: 3000});
		await passTime(3500);
		return result;
	};

	expect(await callAndWait()).toMatchObject({type: 'answered'});
	// Each host is replaced while `a` leads, and `a` last.
	running = new Map([['a', {leader: 'a', hosts: ['a', 'd', 'e']}]]);
	expect(await callAndWait()).toMatchObject({type: 'answered'});
	if (isReread) {
		client.setSeeds(['d', 'e', 'f'].map(name => toNode(name)));
	}

	running = new Map([['d', {leader: 'e', hosts: ['d', 'e', 'f']}], ['e', {leader: 'e', hosts: ['d', 'e', 'f']}], ['f', {leader: 'e', hosts: ['d', 'e', 'f']}]]);
	asked.length = 0;
	expect(await callAndWait(), asked.join(' ')).toMatchObject({type: 'answered'});
	expect(client.getHosts().slice(0, 3)).toEqual(['d', 'e', 'f']);
});

// Incident 77: an order that came to a host during a change of leader went round the other hosts until its time was up.
test('a call is answered on this host once this host leads', async () => {
	let isLeading = false;
	const {client, passTime} = createTestClusterClient(() => async () => createSuccess<unknown>({type: 'notLeader', leader: isLeading ? 'entry' : undefined, hosts: []}), {
		answerHere: (): Promise<ClusterAnswer> | undefined => isLeading ? Promise.resolve({type: 'done'}) : undefined,
	});
	const result = client.call(call, {timeoutMs: 3000});
	await passTime(500);
	isLeading = true;
	client.setLeader(toBrand<NodeId>('entry'));
	await passTime(300);
	expect(await Promise.race([result, Promise.resolve('waits')])).toEqual({type: 'answered', answer: {type: 'done'}});
});

// Incident 77: an order at a follower of a leader that had stopped was held for as long as one attempt lasts, beyond the patience of its sender.
test.each(['control-2', 'entry'])('an attempt at a silent host ends as soon as this host knows another leader (%s)', async nextLeader => {
	const asked: string[] = [];
	const {client, passTime} = createTestClusterClient(timers => async ({to, timeoutMs}) => {
		asked.push(to);
		if (to === 'control-1') {
			await waitFor(timers, timeoutMs);
			return createFailure({type: 'peer/noAnswer'});
		}

		return createSuccess<unknown>({type: 'answer', leader: to, answer: {type: 'done'}});
	}, {answerHere: (): Promise<ClusterAnswer> | undefined => nextLeader === 'entry' && asked.length > 0 ? Promise.resolve({type: 'done'}) : undefined});
	client.setLeader(toBrand<NodeId>('control-1'));
	const result = client.call(call, {timeoutMs: 3000});
	await passTime(300);
	client.setLeader(undefined);
	client.setLeader(toBrand<NodeId>(nextLeader));
	await passTime(200);
	expect(await Promise.race([result, Promise.resolve('waits')])).toEqual({type: 'answered', answer: {type: 'done'}});
	expect(asked).toEqual(nextLeader === 'entry' ? ['control-1'] : ['control-1', 'control-2']);
});

// Incident 77: a follower of a leader that was gone waited for a link with it, twice for longer than the sender of the order has patience.
test('a host without a link is not waited for while another one is linked', async () => {
	const asked: string[] = [];
	const {client, passTime} = createTestClusterClient(timers => async ({to, timeoutMs}) => {
		asked.push(to);
		if (to === 'control-1') {
			await waitFor(timers, timeoutMs);
			return createFailure({type: 'peer/notSent'});
		}

		return createSuccess<unknown>({type: 'answer', leader: to, answer: {type: 'done'}});
	}, {isLinked: host => host !== 'control-1'});
	client.setLeader(toBrand<NodeId>('control-1'));
	for (let order = 0; order < 4; order += 1) {
		const result = client.call(call, {timeoutMs: 3000});
		await passTime(600); // eslint-disable-line no-await-in-loop -- one order after the other
		// eslint-disable-next-line no-await-in-loop -- one order after the other
		expect(await Promise.race([result, Promise.resolve('waits')]), asked.join(' ')).toEqual({type: 'answered', answer: {type: 'done'}});
		client.setLeader(undefined);
	}
});

test('a host that is linked by the attempt itself is found although none is linked', async () => {
	const {client, passTime} = createTestClusterClient(() => async () => createSuccess<unknown>({type: 'answer', leader: 'control-2', answer: {type: 'done'}}), {isLinked: () => false});
	const result = client.call(call, {timeoutMs: 3000});
	await passTime(100);
	expect(await Promise.race([result, Promise.resolve('waits')])).toEqual({type: 'answered', answer: {type: 'done'}});
});
