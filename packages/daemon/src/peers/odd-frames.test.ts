/**
 * A peer that knows the secret and sends odd frames: none ends the process or another link.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {createVirtualTimerService, toBrand, type NodeId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createFrameDecoder, encodeFrame} from './frames.js';
import {
	createHello, createNonce, createProof, type HandshakeMessage, type LinkEnd,
} from './handshake.js';
import {
	advanceUntil, alpha, beta, createTestAddress, createTestPeer, getFreePort, runAfterEach,
} from './test-cluster.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 35);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 60);
const secret = 'cluster secret';
const maximumBytes = 1024 * 1024;
const nestingDepth = 200_000;
const cleanUp = runAfterEach();

const frameText = (text: string | Uint8Array): Uint8Array => {
	const body = Buffer.from(text);
	const prefix = Buffer.alloc(4);
	prefix.writeUInt32BE(body.length);
	return Buffer.concat([prefix, body]);
};

/** Starts a transport that links with a good peer, and whose handlers read fields of what they get without checking them. */
const startTransport = async () => {
	const timers = createVirtualTimerService();
	const addresses = [createTestAddress('alpha', await getFreePort()), createTestAddress('beta', await getFreePort())] as const;
	const errors: unknown[] = [];
	const counts: number[] = [];
	const left = createTestPeer({
		self: addresses[0],
		peers: [],
		timers,
		resolvePeer: node => ({
			...addresses[1], node, isVoter: false, dataCentre: toBrand('elsewhere'),
		}),
		onMessage(_, message) {
			counts.push((message as {readonly entries: readonly unknown[]}).entries.length); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- as a handler for messages of the same build
		},
		async onRequest({params}) {
			return (params as {readonly order: {readonly value: unknown}}).order.value; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- as a handler for messages of the same build
		},
		onUnexpectedError(err) {
			errors.push(err);
		},
	});
	const right = createTestPeer({self: addresses[1], peers: addresses, timers});
	cleanUp(left.transport.close, right.transport.close);
	await Promise.all([left.transport.start(), right.transport.start()]);
	await advanceUntil(timers, () => right.transport.listLinkedPeers().length === 1);
	const isGood = async () => {
		const answer = await right.transport.request({
			to: alpha, method: 'read', params: {order: {value: 7}}, timeoutMs: 1000,
		});
		return answer.ok && answer.value === 7;
	};

	return {
		port: addresses[0].peerPort, left, errors, counts, timers, isGood,
	};
};

/** Links as a node that knows the secret. Bytes given as `first` are written together with the end of the handshake. */
const linkAs = async (node: string, port: number, first: readonly Uint8Array[] = []): Promise<Socket> => {
	const socket = connect({host: '127.0.0.1', port});
	socket.on('error', () => undefined);
	cleanUp(() => socket.destroy());
	await once(socket, 'connect');
	const self: LinkEnd = {node: toBrand<NodeId>(node), incarnation: 5, nonce: createNonce()};
	socket.write(encodeFrame(createHello({from: self, to: alpha})));
	const decoder = createFrameDecoder();
	for await (const [chunk] of on(socket)) {
		decoder.addChunk(chunk);
		const challenge = decoder.readFrame(maximumBytes);
		if (challenge.ok && challenge.value !== undefined) {
			const {from} = challenge.value.value as HandshakeMessage & {type: 'challenge'}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- sent by the code under test
			const proof = createProof({
				secret, prover: 'dialler', dialler: self, acceptor: from,
			});
			socket.write(Buffer.concat([encodeFrame({type: 'proof', proof}), ...first]));
			break;
		}
	}

	socket.resume();
	return socket;
};

async function * on(socket: Socket): AsyncGenerator<[Uint8Array]> {
	while (!socket.destroyed) {
		yield await once(socket, 'data') as [Uint8Array]; // eslint-disable-line no-await-in-loop, @typescript-eslint/no-unsafe-type-assertion -- chunk by chunk
	}
}

const deep = '['.repeat(nestingDepth) + ']'.repeat(nestingDepth);
const oddFrames: ReadonlyArray<readonly [string, string | Uint8Array]> = [
	['no JSON', '{'],
	['bytes that are no text', Uint8Array.from([0xFF, 0xFE])],
	['nothing', ''],
	['null', 'null'],
	['a number', '5'],
	['a text', '"x"'],
	['a list', '[]'],
	['a list nested 200,000 deep', deep],
	['a message without params', '{"jsonrpc":"2.0","method":"message"}'],
	['a message with null', '{"jsonrpc":"2.0","method":"message","params":null}'],
	['a message without its list', '{"jsonrpc":"2.0","method":"message","params":{"type":"replica/append"}}'],
	['a request without params', '{"jsonrpc":"2.0","method":"minion/call","id":1}'],
	['a request with null', '{"jsonrpc":"2.0","method":"cluster/call","id":1,"params":null}'],
	['a request of an odd method', '{"jsonrpc":"2.0","method":5,"id":1,"params":{}}'],
	['a request with a nested id', `{"jsonrpc":"2.0","method":"cluster/call","id":${deep},"params":{}}`],
	['a request with a nested result', `{"jsonrpc":"2.0","method":"cluster/call","id":1,"params":{"order":{"value":${deep}}}}`],
	['an answer that nobody waits for', '{"jsonrpc":"2.0","id":99,"result":5}'],
	['an answer with a null error', '{"jsonrpc":"2.0","id":1,"error":null}'],
	['a hello after the handshake', JSON.stringify(createHello({from: {node: beta, incarnation: 1, nonce: createNonce()}, to: alpha}))],
];

test.each(oddFrames)('a frame that holds %s ends no process and no other link', async (_, text) => {
	const {port, isGood} = await startTransport();
	const socket = await linkAs('odd', port);
	socket.write(frameText(text));
	expect(await isGood()).toBe(true);
	expect(await isGood()).toBe(true);
});

test('a large frame that arrives together with the end of the handshake does not close the connection', async () => {
	const {port, left, counts, timers} = await startTransport();
	const entries = Array.from({length: 500}, (_, index) => ({index}));
	const message = frameText(JSON.stringify({jsonrpc: '2.0', method: 'message', params: {type: 'replica/append', entries}}));
	await linkAs('other', port, [message]);
	await advanceUntil(timers, () => counts.length > 0 || left.transport.getCounters().malformedFrames > 0);
	expect(counts).toEqual([500]);
	expect(left.transport.getCounters().malformedFrames).toBe(0);
});

test.each(['', '\u0000', '__proto__', 'x'.repeat(3000), '../..', '255.255.255.255.1'])('a hello of a node named %j ends no process and no other link', async node => {
	const {port, isGood} = await startTransport();
	const socket = connect({host: '127.0.0.1', port});
	socket.on('error', () => undefined);
	cleanUp(() => socket.destroy());
	await once(socket, 'connect');
	socket.write(encodeFrame(createHello({from: {node: toBrand<NodeId>(node), incarnation: 1, nonce: createNonce()}, to: alpha})));
	expect(await isGood()).toBe(true);
});

test('no frame, before or after the handshake, ends the process or another link', async () => {
	const {port, isGood} = await startTransport();
	const anyFrame = fc.oneof(
		fc.uint8Array({maxLength: 100}),
		fc.json(),
		fc.record({
			jsonrpc: fc.constant('2.0'), method: fc.oneof(fc.constantFrom<unknown>('message', 'heartbeat', 'minion/call'), fc.jsonValue()), params: fc.jsonValue(), id: fc.jsonValue(),
		}, {requiredKeys: ['jsonrpc']}).map(frame => JSON.stringify(frame)),
	);
	await fc.assert(fc.asyncProperty(fc.array(anyFrame, {minLength: 1, maxLength: 5}), fc.boolean(), async (frames, isLinked) => {
		const socket = isLinked ? await linkAs('odd', port) : connect({host: '127.0.0.1', port});
		socket.on('error', () => undefined);
		for (const frame of frames) {
			socket.write(frameText(frame));
		}

		expect(await isGood()).toBe(true);
		socket.destroy();
	}), {seed, numRuns: numberRuns});
});
