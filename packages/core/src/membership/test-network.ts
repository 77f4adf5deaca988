/**
 * A small fake network in virtual time for the tests of membership and escrow: it loses, delays,
 * reorders and repeats messages, and cuts single directions.
 */
import type {NodeId, RandomSource} from '@samphiremill/common';

type Envelope<Message> = {
	readonly from: NodeId;
	readonly to: NodeId;
	readonly message: Message;
	readonly dueMs: number;
};

/** How badly the network behaves. Times are in milliseconds, rates in [0, 1]. */
export type NetworkFaults = {
	readonly dropRate: number;
	readonly duplicateRate: number;
	readonly maximumDelayMs: number;
};

/** Messages under way and the cuts in force. */
export type TestNetwork<Message> = {
	readonly send: (from: NodeId, to: NodeId, message: Message) => void;
	/** Moves the clock on and hands over what falls due, in the order of its arrival. */
	readonly advance: (durationMs: number, deliver: (envelope: Envelope<Message>) => void) => void;
	readonly setFaults: (faults: NetworkFaults) => void;
	/** From now on nothing that `from` sends reaches `to`. */
	readonly cut: (from: NodeId, to: NodeId) => void;
	readonly healAll: () => void;
	readonly getNow: () => number;
	readonly getSentBytes: () => number;
};

/** A network that only takes its time. */
export const faultlessNetwork: NetworkFaults = {dropRate: 0, duplicateRate: 0, maximumDelayMs: 3};

/**
 * @param random - The source of all chance.
 * @returns A calm network without cuts at time 0.
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
