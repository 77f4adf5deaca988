import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {defaultPeerLinkConfig} from './constants.js';
import {createPeerLinkState, reducePeerLink} from './reduce-peer-link.js';
import type {ConnectionId, PeerLinkEvent} from './types.js';

test('a link that is closed right after each handshake is dialled less and less often', () => {
	let nowMs = 0;
	let lastConnection = 0;
	const getNow = () => toBrand<MonotonicMs>(nowMs);
	let state = createPeerLinkState({
		cfg: defaultPeerLinkConfig, self: toBrand<NodeId>('alpha'), peer: toBrand<NodeId>('beta'), isPermanent: true, nowMs: getNow(),
	});
	const dialledAtMs: number[] = [];
	const step = (event: PeerLinkEvent) => {
		const result = reducePeerLink(state, event);
		({state} = result);
		for (const effect of result.effects) {
			if (effect.type === 'peerLink/dial') {
				dialledAtMs.push(nowMs);
				step({type: 'peerLink/established', connection: effect.connection, nowMs: getNow()});
				step({
					type: 'peerLink/closed', connection: effect.connection, nowMs: getNow(), jitter: 0.5,
				});
			}
		}
	};

	for (; nowMs < 30_000; nowMs += 200) {
		lastConnection += 1;
		step({
			type: 'peerLink/tick', nowMs: getNow(), freshConnection: toBrand<ConnectionId>(lastConnection), jitter: 0.5, lastReceivedAtMs: getNow(), lastSentAtMs: getNow(), lastUsedAtMs: getNow(),
		});
	}

	// As for dials that fail: the backoff doubles from 0.1 s to 3 s.
	expect(dialledAtMs.length).toBeLessThanOrEqual(5 + (30_000 / (defaultPeerLinkConfig.maximumBackoffMs / 2)));
});
