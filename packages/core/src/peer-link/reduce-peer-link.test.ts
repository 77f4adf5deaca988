import process from 'node:process';
import {
	createSeededRandom, toBrand, type MonotonicMs, type NodeId,
} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test, vi} from 'vitest';
import {transition} from 'xstate';
import {defaultPeerLinkConfig} from './constants.js';
import {peerLinkMachine} from './machine.js';
import {createPeerLinkState, getUpConnection, reducePeerLink} from './reduce-peer-link.js';
import type {ConnectionId, PeerLinkEffect, PeerLinkEvent} from './types.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 1);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 200);

type End = 0 | 1;
type Frame = 'hello' | 'challenge' | 'proof' | 'heartbeat' | 'closed';

const ends: readonly End[] = [0, 1];
const names = [toBrand<NodeId>('alpha'), toBrand<NodeId>('beta')] as const;

/** Creates the two ends of one link. Frames of one connection keep their order; frames of different connections may overtake each other. */
function createPair(isPermanent: boolean) {
	let nowMs = 0;
	let lastConnection = 0;
	const getNow = () => toBrand<MonotonicMs>(nowMs);
	const createConnectionId = () => {
		lastConnection += 1;
		return toBrand<ConnectionId>(lastConnection);
	};

	const states = ends.map(end => createPeerLinkState({
		cfg: defaultPeerLinkConfig, self: names[end], peer: names[end === 0 ? 1 : 0], isPermanent, nowMs: getNow(),
	}));
	const receivedAtMs = [0, 0];
	const sentAtMs = [0, 0];
	const closed = ends.map(() => new Set<ConnectionId>());
	let queues: ReadonlyArray<{readonly connection: ConnectionId; readonly to: End; readonly frames: readonly Frame[]}> = [];

	const send = (from: End, connection: ConnectionId, frame: Frame) => {
		const to = from === 0 ? 1 : 0;
		sentAtMs[from] = nowMs;
		const queue = queues.find(other => other.connection === connection && other.to === to);
		const frames = [...queue?.frames ?? [], frame];
		queues = [...queues.filter(other => other !== queue), {connection, to, frames}];
	};

	const close = (end: End, connection: ConnectionId) => {
		if (!closed[end]?.has(connection)) {
			closed[end]?.add(connection);
			send(end, connection, 'closed');
			dispatch(end, {
				type: 'peerLink/closed', connection, nowMs: getNow(), jitter: end * 0.7,
			});
		}
	};

	const perform = (end: End, effect: PeerLinkEffect) => {
		// The state of the link does not depend on its `changed` reports.
		if (effect.type === 'peerLink/changed') {
			return;
		}

		switch (effect.type) {
			case 'peerLink/dial': {
				send(end, effect.connection, 'hello');
				return;
			}

			case 'peerLink/accept': {
				send(end, effect.connection, 'challenge');
				return;
			}

			case 'peerLink/sendHeartbeat': {
				send(end, effect.connection, 'heartbeat');
				return;
			}

			case 'peerLink/close': {
				close(end, effect.connection);
			}
		}
	};

	const dispatch = (end: End, event: PeerLinkEvent) => {
		const state = states[end];
		if (state !== undefined) {
			const step = reducePeerLink(state, event);
			states[end] = step.state;
			for (const effect of step.effects) {
				perform(end, effect);
			}
		}
	};

	const receive = (end: End, connection: ConnectionId, frame: Frame) => {
		if (closed[end]?.has(connection)) {
			return;
		}

		receivedAtMs[end] = nowMs;
		if (frame === 'closed') {
			close(end, connection);
		} else if (frame === 'hello') {
			dispatch(end, {type: 'peerLink/helloReceived', connection, nowMs: getNow()});
		} else if (frame !== 'heartbeat') {
			if (frame === 'challenge') {
				send(end, connection, 'proof');
			}

			dispatch(end, {type: 'peerLink/established', connection, nowMs: getNow()});
		}
	};

	return {
		deliver(choice: number) {
			const queue = queues[choice % Math.max(1, queues.length)];
			if (queue !== undefined) {
				const [frame, ...frames] = queue.frames;
				queues = [...queues.filter(other => other !== queue), ...(frames.length > 0 ? [{...queue, frames}] : [])];
				receive(queue.to, queue.connection, frame ?? 'heartbeat');
			}
		},
		tick(end: End, passedMs: number) {
			nowMs += passedMs;
			dispatch(end, {
				type: 'peerLink/tick',
				nowMs: getNow(),
				freshConnection: createConnectionId(),
				jitter: end * 0.7,
				lastReceivedAtMs: toBrand<MonotonicMs>(receivedAtMs[end] ?? 0),
				lastSentAtMs: toBrand<MonotonicMs>(sentAtMs[end] ?? 0),
				lastUsedAtMs: getNow(),
			});
		},
		requestLink(end: End) {
			dispatch(end, {type: 'peerLink/wanted', nowMs: getNow(), freshConnection: createConnectionId()});
		},
		hasFrames: () => queues.length > 0,
		listUpConnections: () => states.map(state => getUpConnection(state)),
	};
}

test('for any order of frames, ticks and requests for the link, both ends converge on one connection and keep it', () => {
	const step = fc.record({type: fc.constantFrom('deliver', 'tick', 'want'), choice: fc.nat(9), passedMs: fc.nat(700)});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), fc.boolean(), fc.integer(), (steps, isPermanent, orderSeed) => {
		const pair = createPair(isPermanent);
		const random = createSeededRandom(orderSeed);
		for (const {type, choice, passedMs} of steps) {
			const end = choice % 2 === 0 ? 0 : 1;
			if (type === 'deliver') {
				pair.deliver(choice);
			} else if (type === 'tick') {
				pair.tick(end, passedMs);
			} else {
				pair.requestLink(end);
			}
		}

		const runWithoutFaults = (durationMs: number) => {
			for (let passedMs = 0; passedMs < durationMs; passedMs += 200) {
				pair.tick(0, 100);
				pair.tick(1, 100);
				pair.requestLink(0);
				while (pair.hasFrames()) {
					pair.deliver(Math.floor(random() * 10));
				}
			}
		};

		runWithoutFaults(15_000);
		const [left, right] = pair.listUpConnections();
		expect(left).toBeDefined();
		expect(right).toBe(left);
		runWithoutFaults(5000);
		expect(pair.listUpConnections()).toEqual([left, left]);
	}), {seed, numRuns: numberRuns, endOnFailure: true});
});

const createUpLink = (isPermanent: boolean, nowMs: MonotonicMs) => {
	const connection = toBrand<ConnectionId>(1);
	const idle = createPeerLinkState({
		cfg: defaultPeerLinkConfig, self: names[0], peer: names[1], isPermanent, nowMs,
	});
	const dialling = reducePeerLink(idle, {type: 'peerLink/wanted', freshConnection: connection, nowMs}).state;
	return {idle, dialling, up: reducePeerLink(dialling, {type: 'peerLink/established', connection, nowMs}).state};
};

test('ticks that change nothing cost no transition', () => {
	const nowMs = toBrand<MonotonicMs>(10_000);
	const transitions = vi.spyOn(peerLinkMachine, 'transition');
	const {up, dialling} = createUpLink(true, nowMs);
	const before = transitions.mock.calls.length;
	for (const state of [up, dialling]) {
		const tick: PeerLinkEvent = {
			type: 'peerLink/tick', nowMs, freshConnection: toBrand<ConnectionId>(2), jitter: 0.5, lastReceivedAtMs: nowMs, lastSentAtMs: nowMs, lastUsedAtMs: nowMs,
		};
		expect(reducePeerLink(state, tick)).toEqual({state, effects: []});
	}

	expect(transitions.mock.calls.length - before).toBe(0);
	transitions.mockRestore();
});

test('a tick leads where the machine leads', () => {
	const agoMs = fc.nat(9000);
	const tick = fc.record({
		passedMs: agoMs, receivedMs: agoMs, sentMs: agoMs, usedMs: agoMs,
	});
	fc.assert(fc.property(fc.boolean(), fc.constantFrom('idle', 'dialling', 'up'), fc.array(tick, {maxLength: 20}), (isPermanent, begin, ticks) => {
		let nowMs = 10_000;
		const getTime = (ms: number) => toBrand<MonotonicMs>(nowMs - ms);
		let state = createUpLink(isPermanent, getTime(0))[begin];
		for (const {passedMs, receivedMs, sentMs, usedMs} of ticks) {
			nowMs += passedMs;
			const event: PeerLinkEvent = {
				type: 'peerLink/tick',
				nowMs: getTime(0),
				freshConnection: toBrand<ConnectionId>(nowMs),
				jitter: 0.5,
				lastReceivedAtMs: getTime(receivedMs),
				lastSentAtMs: getTime(sentMs),
				lastUsedAtMs: getTime(usedMs),
			};
			const {state: next, effects} = reducePeerLink(state, event);
			const [expected, actions] = transition(peerLinkMachine, state, event);
			expect([next.value, next.context]).toEqual([expected.value, expected.context]);
			expect(effects).toEqual(actions.filter(({type}) => type === 'perform').map(({params}) => params));
			state = next;
		}
	}), {seed, numRuns: numberRuns});
});
