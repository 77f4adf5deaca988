/**
 * Counts what a leader sends to a peer, so that the log tells why a host catches up slowly: too much to send, the same entries
 * again and again, or a peer that answers late.
 */
import type {
	LogEntry, PeerProgress, PeerTraffic, ReplicaConfig,
} from './types.js';

/** Creates the counts of a peer to which nothing was sent. */
export function createPeerTraffic(): PeerTraffic {
	return {
		messages: 0, bytes: 0, repeatedEntries: 0, rejections: 0, rewinds: 0, snapshotChunks: 0,
	};
}

const addTraffic = (progress: PeerProgress, added: Partial<PeerTraffic>): PeerProgress => {
	const {traffic} = progress;
	return {
		...progress,
		traffic: {
			messages: traffic.messages + (added.messages ?? 0),
			bytes: traffic.bytes + (added.bytes ?? 0),
			repeatedEntries: traffic.repeatedEntries + (added.repeatedEntries ?? 0),
			rejections: traffic.rejections + (added.rejections ?? 0),
			rewinds: traffic.rewinds + (added.rewinds ?? 0),
			snapshotChunks: traffic.snapshotChunks + (added.snapshotChunks ?? 0),
		},
	};
};

/**
 * Counts the entries of one message.
 *
 * @param entries - The entries sent, without a gap; a message without entries is not counted.
 * @param measureEntry - Returns the bytes of an entry.
 */
export function recordSentEntries(progress: PeerProgress, entries: ReadonlyArray<LogEntry<unknown>>, measureEntry: ReplicaConfig['measureEntry']): PeerProgress {
	const lastIndex = entries.at(-1)?.index;
	if (lastIndex === undefined) {
		return progress;
	}

	const bytes = measureEntry === undefined ? 0 : entries.reduce((sum, entry) => sum + measureEntry(entry), 0);
	const repeatedEntries = entries.filter(({index}) => index <= progress.highestSentIndex).length;
	const highestSentIndex = Math.max(progress.highestSentIndex, lastIndex);
	return {...addTraffic(progress, {messages: 1, bytes, repeatedEntries}), highestSentIndex};
}

/** Counts a message that the peer rejected. */
export function recordRejection(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {rejections: 1});
}

/** Counts unanswered messages that are taken for lost. */
export function recordRewind(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {rewinds: 1});
}

/** Counts a chunk of the snapshot that the peer fetched. */
export function recordSnapshotChunk(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {snapshotChunks: 1});
}
