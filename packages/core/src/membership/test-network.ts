/**
 * A simulated network in virtual time for the tests of membership and escrow. It loses, delays, reorders
 * and duplicates messages, and can cut single directions between two nodes.
 */
import type {NodeId, RandomSource} from '@samphiremill/common';

type Envelope<Message> = {
	readonly from: NodeId;
	readonly to: NodeId;
	readonly message: Message;
	readonly dueMs: number;
};

/** The faults of the network. Times are in milliseconds, rates in [0, 1]. */
export type NetworkFaults = {
	readonly dropRate: number;
	readonly duplicateRate: number;
	readonly maximumDelayMs: number;
};

/** A network with messages in flight and cut directions. */
export type TestNetwork<Message> = {
	readonly send: (from: NodeId, to: NodeId, message: Message) => void;
	/** Advances the clock and delivers the messages that become due, in the order of their arrival. */
	readonly advance: (durationMs: number, deliver: (envelope: Envelope<Message>) => void) => void;
	readonly setFaults: (faults: NetworkFaults) => void;
	/** Drops every message from `from` to `to` from now on, including those in flight. */
	readonly cut: (from: NodeId, to: NodeId) => void;
	readonly healAll: () => void;
	readonly getNow: () => number;
	readonly getSentBytes: () => number;
};

/** A network that neither loses nor duplicates messages and delays them by a few milliseconds only. */
export const faultlessNetwork: NetworkFaults = {dropRate: 0, duplicateRate: 0, maximumDelayMs: 3};

/**
 * Creates a network without faults or cuts, at time 0.
 *
 * @param random - The only source of randomness.
 */
export function createTestNetwork<Message>(random: RandomSource): TestNetwork<Message> {
	let nowMs = 0;
	let sentBytes = 0;
	let faults = faultlessNetwork;
	let envelopes: ReadonlyArray<Envelope<Message>> = [];
	const cuts = new Set<string>();

	const enqueue = (envelope: Omit<Envelope<Message>, 'dueMs'>) => {
		envelopes = [...envelopes, {...envelope, dueMs: nowMs + 1 + (random() * faults.maximumDelayMs)}];
	};

	return {
		send(from, to, message) {
			sentBytes += JSON.stringify(message).length;
			if (cuts.has(`${from}>${to}`) || random() < faults.dropRate) {
				return;
			}

			enqueue({from, to, message});
			if (random() < faults.duplicateRate) {
				enqueue({from, to, message});
			}
		},
		advance(durationMs, deliver) {
			nowMs += durationMs;
			const due = envelopes.filter(({dueMs}) => dueMs <= nowMs).toSorted((left, right) => left.dueMs - right.dueMs);
			envelopes = envelopes.filter(({dueMs}) => dueMs > nowMs);
			for (const envelope of due) {
				if (!cuts.has(`${envelope.from}>${envelope.to}`)) {
					deliver(envelope);
				}
			}
		},
		setFaults(next) {
			faults = next;
		},
		cut(from, to) {
			cuts.add(`${from}>${to}`);
		},
		healAll() {
			cuts.clear();
			faults = faultlessNetwork;
		},
		getNow: () => nowMs,
		getSentBytes: () => sentBytes,
	};
}
