/**
 * Requests and links at the edge of two phases: a queue that ends, an answer that does not fit, a hello that proves nothing.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createVirtualTimerService, toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {maximumFrameBytes, queuedMessageLifetimeMs} from './constants.js';
import {encodeFrame} from './frames.js';
import {createHello, createNonce} from './handshake.js';
import {
	advanceUntil, alpha, beta, createTestAddress, createTestPeer, getFreePort, isLinked, runAfterEach,
} from './test-cluster.js';

const cleanUp = runAfterEach();

const startPair = async (onRequest: () => Promise<unknown> = async () => 'done') => {
	const timers = createVirtualTimerService();
	const addresses = [createTestAddress('alpha', await getFreePort()), createTestAddress('beta', await getFreePort())] as const;
	const left = createTestPeer({self: addresses[0], peers: addresses, timers});
	const right = createTestPeer({
		self: addresses[1], peers: addresses, timers, onRequest,
	});
	cleanUp(left.transport.close, right.transport.close);
	return {
		timers, left, right, addresses,
	};
};

/** Advances the clock until the promise is settled; returns its value and the time that it took. */
const settle = async <Value>(timers: ReturnType<typeof createVirtualTimerService>, promise: Promise<Value>) => {
	const startedAtMs = timers.getNow();
	let settled: {readonly value: Value; readonly tookMs: number} | undefined;
	void promise.then(value => {
		settled = {value, tookMs: timers.getNow() - startedAtMs};
	});
	await advanceUntil(timers, () => settled !== undefined);
	return settled;
};

test('a request that leaves the queue unsent ends as not sent, and not as one that may have been carried out', async () => {
	const {timers, left} = await startPair();
	await left.transport.start();
	const settled = await settle(timers, left.transport.request({
		to: beta, method: 'read', params: 1, timeoutMs: 10 * queuedMessageLifetimeMs,
	}));
	expect(settled?.value).toEqual({ok: false, err: {type: 'peer/notSent'}});
	expect(settled?.tookMs).toBeLessThanOrEqual(2 * queuedMessageLifetimeMs);
});

test('of large requests that wait for a link, each is answered or ends as not sent', async () => {
	const {timers, left, right} = await startPair();
	await left.transport.start();
	const large = 'x'.repeat(maximumFrameBytes / 2);
	const requests = Array.from({length: 8}, async () => left.transport.request({
		to: beta, method: 'write', params: large, timeoutMs: 5000,
	}));
	await right.transport.start();
	const settled = await settle(timers, Promise.all(requests));
	const kinds = settled?.value.map(result => result.ok ? 'answered' : result.err.type);
	expect(kinds?.filter(kind => kind === 'peer/noAnswer')).toEqual([]);
});

test('a request whose answer does not fit into a frame is answered with an error', async () => {
	const {timers, left, right} = await startPair(async () => 'x'.repeat(maximumFrameBytes));
	await Promise.all([left.transport.start(), right.transport.start()]);
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	const settled = await settle(timers, left.transport.request({
		to: beta, method: 'read', params: 1, timeoutMs: 5000,
	}));
	expect(settled?.value).toMatchObject({ok: false, err: {type: 'peer/failed'}});
});

test('a hello that is not authenticated makes no host dial the node that it names', async () => {
	const timers = createVirtualTimerService();
	const address = createTestAddress('alpha', await getFreePort());
	const left = createTestPeer({
		self: address, peers: [], timers, resolvePeer: node => ({...address, node, peerPort: 9}),
	});
	cleanUp(left.transport.close);
	await left.transport.start();
	for (const name of ['ghost-1', 'ghost-2', 'ghost-3']) {
		const socket = connect({host: '127.0.0.1', port: address.peerPort});
		socket.on('error', () => undefined);
		await once(socket, 'connect'); // eslint-disable-line no-await-in-loop -- one after the other
		socket.write(encodeFrame(createHello({from: {node: toBrand<NodeId>(name), incarnation: 1, nonce: createNonce()}, to: alpha})));
		await once(socket, 'data'); // eslint-disable-line no-await-in-loop -- the challenge
		socket.destroy();
	}

	for (let step = 0; step < 100; step += 1) {
		timers.advance(100);
		await sleep(1); // eslint-disable-line no-await-in-loop -- the sockets need turns of the event loop
	}

	expect(left.transport.getCounters().dials).toBe(0);
});
