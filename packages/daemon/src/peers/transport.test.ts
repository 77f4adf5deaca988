import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createVirtualTimerService, toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {maximumFrameBytes} from './constants.js';
import {encodeFrame} from './frames.js';
import {createHello, createNonce} from './handshake.js';
import {
	advanceUntil, alpha, beta, createTestAddress, createTestPeer, createTestRelay, getFreePort, isLinked, runAfterEach,
} from './test-cluster.js';

const cleanUp = runAfterEach();

async function startPair(options: {
	readonly alpha?: Partial<Parameters<typeof createTestPeer>[0]>;
	readonly beta?: Partial<Parameters<typeof createTestPeer>[0]>;
} = {}) {
	const timers = createVirtualTimerService();
	const addresses = [createTestAddress('alpha', await getFreePort()), createTestAddress('beta', await getFreePort())] as const;
	const left = createTestPeer({
		self: addresses[0], peers: addresses, timers, ...options.alpha,
	});
	const right = createTestPeer({
		self: addresses[1], peers: addresses, timers, ...options.beta,
	});
	cleanUp(left.transport.close, right.transport.close);
	await Promise.all([left.transport.start(), right.transport.start()]);
	return {
		timers, left, right, addresses,
	};
}

test('two nodes that dial each other at the same time end up with one link and exchange messages and requests', async () => {
	const {timers, left, right} = await startPair({
		beta: {onRequest: async ({from, method, params}) => [from, method, params]},
	});
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	left.transport.send(beta, {type: 'test/ping', count: 1});
	right.transport.send(alpha, {type: 'test/ping', count: 2});
	await advanceUntil(timers, () => left.received.length > 0 && right.received.length > 0);
	expect(right.received).toEqual([{from: alpha, message: {type: 'test/ping', count: 1}}]);
	expect(left.received).toEqual([{from: beta, message: {type: 'test/ping', count: 2}}]);
	const answer = await left.transport.request({
		to: beta, method: 'read', params: {key: 7}, timeoutMs: 1000,
	});
	expect(answer).toEqual({ok: true, value: ['alpha', 'read', {key: 7}]});
	const failed = await right.transport.request({
		to: alpha, method: 'read', params: {}, timeoutMs: 1000,
	});
	expect(failed).toEqual({ok: false, err: {type: 'peer/failed', message: 'No method read'}});
});

test('a peer with another secret gets no link, and its messages are not delivered', async () => {
	const {timers, left, right} = await startPair({beta: {secret: 'another secret'}});
	right.transport.send(alpha, {type: 'test/forged'});
	await advanceUntil(timers, () => left.transport.getCounters().rejectedHandshakes + right.transport.getCounters().rejectedHandshakes >= 3);
	expect(left.transport.listLinkedPeers()).toEqual([]);
	expect(right.transport.listLinkedPeers()).toEqual([]);
	expect(left.received).toEqual([]);
	expect(left.changes).toEqual([]);
});

test('a connection on which nothing arrives is replaced if new connections work', async () => {
	const timers = createVirtualTimerService();
	const address = createTestAddress('beta', await getFreePort());
	const relay = await createTestRelay(address.peerPort);
	const self = createTestAddress('alpha', await getFreePort());
	const left = createTestPeer({self, peers: [{...address, peerPort: relay.port}], timers});
	const right = createTestPeer({self: address, peers: [{...self, peerPort: 9}], timers});
	cleanUp(left.transport.close, right.transport.close, relay.close);
	await Promise.all([left.transport.start(), right.transport.start()]);
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	relay.muteOpenConnections();
	await advanceUntil(timers, () => left.changes.length >= 3 && isLinked(left) && isLinked(right));
	left.transport.send(beta, {type: 'test/afterwards'});
	await advanceUntil(timers, () => right.received.length > 0);
	expect(left.transport.getCounters().muteConnections).toBeGreaterThan(0);
	expect(left.changes.slice(0, 3).map(({isUp}) => isUp)).toEqual([true, false, true]);
});

test('an answer that arrives after its request timed out is counted and does not reach a later caller', async () => {
	let answerFirst: ((value: string) => void) | undefined;
	const {timers, left, right} = await startPair({
		beta: {
			onRequest: async ({params}) => params === 1
				? new Promise(resolve => {
					answerFirst = resolve;
				})
				: 'second answer',
		},
	});
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	const first = left.transport.request({
		to: beta, method: 'read', params: 1, timeoutMs: 100,
	});
	await advanceUntil(timers, () => answerFirst !== undefined);
	timers.advance(100);
	expect(await first).toEqual({ok: false, err: {type: 'peer/noAnswer'}});
	const second = left.transport.request({
		to: beta, method: 'read', params: 2, timeoutMs: 100_000,
	});
	answerFirst?.('first answer');
	expect(await second).toEqual({ok: true, value: 'second answer'});
	await advanceUntil(timers, () => left.transport.getCounters().lateAnswers > 0);
});

test('a link comes up and stays up although large messages wait for it', async () => {
	const {timers, left, right} = await startPair();
	const large = 'x'.repeat(10_000);
	left.transport.send(beta, large);
	right.transport.send(alpha, large);
	await advanceUntil(timers, () => [left, right].every(({received, transport}) => received.length > 0 || transport.getCounters().malformedFrames > 0));
	expect([left, right].map(({received}) => received.map(({message}) => message))).toEqual([[large], [large]]);
	expect([left, right].map(({transport}) => transport.getCounters().malformedFrames)).toEqual([0, 0]);
});

test('oversized messages are dropped and counted, and the link stays up', async () => {
	const {timers, left, right} = await startPair();
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	left.transport.send(beta, 'x'.repeat(maximumFrameBytes));
	left.transport.send(beta, 'small');
	await advanceUntil(timers, () => right.received.length > 0);
	expect(right.received.map(({message}) => message)).toEqual(['small']);
	expect(left.transport.getCounters().oversizedMessages).toBe(1);
});

test('messages are dropped when the send buffer is full', async () => {
	const {timers, left, right} = await startPair();
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	for (let count = 0; count < 16; count += 1) {
		left.transport.send(beta, 'x'.repeat(maximumFrameBytes / 2));
	}

	expect(left.transport.getCounters().droppedMessages).toBeGreaterThan(0);
});

test.each([
	['a frame length above the limit', Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])],
	['a body that is not JSON', Buffer.from([0, 0, 0, 1, 0x7B])],
	['a message before the handshake', Buffer.from([0, 0, 0, 2, 0x7B, 0x7D])],
])('the connection of an unauthenticated sender that sends %s is closed', async (_, bytes) => {
	const {addresses, left} = await startPair();
	const socket = connect({host: '127.0.0.1', port: addresses[0].peerPort});
	socket.on('error', () => undefined);
	socket.write(bytes);
	socket.resume();
	await once(socket, 'close');
	const {malformedFrames, rejectedHandshakes} = left.transport.getCounters();
	expect(malformedFrames + rejectedHandshakes).toBe(1);
});

test('names in hellos of senders that do not know the secret are not dialled', async () => {
	const helloCount = 40;
	const timers = createVirtualTimerService();
	const self = createTestAddress('alpha', await getFreePort());
	const address = createTestAddress('beta', await getFreePort());
	const left = createTestPeer({
		self, peers: [], timers, resolvePeer: node => ({...address, node}),
	});
	cleanUp(left.transport.close);
	await left.transport.start();
	for (let count = 0; count < helloCount; count += 1) {
		const socket = connect({host: '127.0.0.1', port: self.peerPort});
		socket.on('error', () => undefined);
		await once(socket, 'connect'); // eslint-disable-line no-await-in-loop -- one sender after the other
		socket.write(encodeFrame(createHello({from: {node: toBrand<NodeId>(`x-${count}`), incarnation: 1, nonce: createNonce()}, to: alpha})));
		await once(socket, 'data'); // eslint-disable-line no-await-in-loop -- the challenge
		socket.destroy();
	}

	for (let step = 0; step < 40; step += 1) {
		timers.advance(200);
		await sleep(1); // eslint-disable-line no-await-in-loop -- the sockets need turns of the event loop between the steps
	}

	expect(left.transport.getCounters().dials).toBe(0);
});

test('a node that is not known before is linked once it has proved that it knows the secret, and dialled when the link is lost', async () => {
	const timers = createVirtualTimerService();
	const self = createTestAddress('alpha', await getFreePort());
	const address = createTestAddress('beta', await getFreePort());
	const left = createTestPeer({
		self, peers: [], timers, resolvePeer: node => ({...address, node}),
	});
	const right = createTestPeer({self: address, peers: [self], timers});
	cleanUp(left.transport.close);
	await Promise.all([left.transport.start(), right.transport.start()]);
	await advanceUntil(timers, () => isLinked(left) && isLinked(right));
	expect(left.transport.getCounters().dials).toBe(0);
	await right.transport.close();
	await advanceUntil(timers, () => left.transport.getCounters().dials > 0);
});
