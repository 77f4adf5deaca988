import type {PeerCounters} from './types.js';

/** Stores the counters of one transport. */
export type PeerCounterStore = {
	readonly add: (name: keyof PeerCounters, amount?: number) => void;
	readonly get: () => PeerCounters;
};

/** Creates counters that all start at zero. */
export function createPeerCounters(): PeerCounterStore {
	// Counted several times for each frame, so not copied at each change.
	const counters: Record<keyof PeerCounters, number> = {
		sentFrames: 0,
		sentBytes: 0,
		writes: 0,
		receivedFrames: 0,
		receivedBytes: 0,
		reads: 0,
		droppedMessages: 0,
		oversizedMessages: 0,
		lateAnswers: 0,
		malformedFrames: 0,
		rejectedHandshakes: 0,
		muteConnections: 0,
		dials: 0,
	};
	return {
		add(name, amount = 1) {
			counters[name] += amount;
		},
		get: () => ({...counters}),
	};
}
