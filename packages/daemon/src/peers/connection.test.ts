import {Buffer} from 'node:buffer';
import {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import process from 'node:process';
import {
	createVirtualTimerService, toBrand, waitFor, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {ConnectionId} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createRealTimerService} from '../runtime/real-timer-service.js';
import {createPeerConnection} from './connection.js';
import {maximumFrameBytes, maximumSendBufferBytes} from './constants.js';
import {createPeerCounters} from './counters.js';
import {readFrames} from './test-frames.js';

/** A socket that records the buffers of each write. A write ends once `release` was called. */
const createRecordingSocket = () => {
	const writes: Uint8Array[] = [];
	const pending: Array<() => void> = [];
	const stream = new Duplex({
		read: () => undefined,
		write(chunk: Uint8Array, _, callback) {
			writes.push(chunk);
			pending.push(callback);
		},
	});
	return {
		socket: Object.assign(stream, {setNoDelay: () => undefined}) as unknown as Socket, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- only the stream of a socket is used
		writes,
		release() {
			for (const callback of pending.splice(0)) {
				callback();
			}
		},
	};
};

const openConnection = (socket: Socket, timers: TimerService = createVirtualTimerService()) => createPeerConnection({
	id: toBrand<ConnectionId>(1),
	socket,
	self: {node: toBrand<NodeId>('alpha'), incarnation: 1},
	dialledNode: undefined,
	secret: 'secret',
	timers,
	counters: createPeerCounters(),
	onHello: () => undefined,
	onEstablished: () => undefined,
	onFrameError: () => undefined,
	onUnexpectedError: () => undefined,
	onFrame: () => true,
	onClosed: () => undefined,
});

const waitForTurn = async () => waitFor(createRealTimerService(), 1);

test('what is sent while the event loop handles what has arrived goes to the socket in one write, in its order', async () => {
	const {socket, writes, release} = createRecordingSocket();
	const {send} = openConnection(socket);
	// Answers arrive one after the other, and each is handled in microtasks and ticks of its own.
	for (let number = 0; number < 50; number += 1) {
		send({number});
		await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop -- one after the other
			process.nextTick(resolve);
		});
	}

	await waitForTurn();
	release();
	expect(writes).toHaveLength(1);
	expect(readFrames(Buffer.concat(writes))).toEqual(Array.from({length: 50}, (_, number) => ({number})));
});

test('what is sent later goes to the socket too', async () => {
	const {socket, writes, release} = createRecordingSocket();
	const {send} = openConnection(socket);
	send({number: 1});
	await waitForTurn();
	release();
	send({number: 2});
	await waitForTurn();
	expect(writes).toHaveLength(2);
});

test('frames that may wait go to the socket in one write, after their time or with the next frame that may not (incident 51)', async () => {
	const {socket, writes, release} = createRecordingSocket();
	const timers = createVirtualTimerService();
	const {send} = openConnection(socket, timers);
	for (let number = 0; number < 5; number += 1) {
		send({number}, {delayMs: 10});
		timers.advance(1);
		await waitForTurn(); // eslint-disable-line no-await-in-loop -- each frame in a turn of its own
	}

	expect(writes).toHaveLength(0);
	timers.advance(5);
	release();
	expect(readFrames(Buffer.concat(writes))).toEqual(Array.from({length: 5}, (_, number) => ({number})));

	send({number: 5}, {delayMs: 10});
	send({number: 6});
	await waitForTurn();
	release();
	timers.advance(10);
	expect(writes).toHaveLength(2);
	expect(readFrames(Buffer.concat(writes.slice(1)))).toEqual([{number: 5}, {number: 6}]);
});

test('the limit of the send buffer counts what is not written yet', () => {
	const {socket} = createRecordingSocket();
	const {send} = openConnection(socket);
	const text = 'x'.repeat(maximumFrameBytes / 2);
	const outcomes = Array.from({length: 6}, () => send({text}));
	const fitting = Math.floor(maximumSendBufferBytes / (text.length + 15));
	expect(outcomes).toEqual(outcomes.map((_, index) => index < fitting ? 'sent' : 'bufferFull'));
});

test('nothing is written to a connection that was destroyed, and no error leaves it', async () => {
	const {socket, writes} = createRecordingSocket();
	const connection = openConnection(socket);
	connection.send({number: 1});
	connection.destroy();
	await waitForTurn();
	expect(writes).toHaveLength(0);
});

test('a value without a JSON text is not sent', () => {
	const {socket} = createRecordingSocket();
	expect(openConnection(socket).send(undefined)).toBe('tooLarge');
});
