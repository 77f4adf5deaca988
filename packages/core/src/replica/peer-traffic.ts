/**
 * Counts what a leader sends to a peer, so that the log tells why a host catches up slowly: too much to send, the same entries
 * again and again, or a peer that answers late.
 */
import type {PeerProgress, PeerTraffic} from './types.js';

/** Creates the counts of a peer to which nothing was sent. */
export function createPeerTraffic(): PeerTraffic {
	return {
		messages: 0, bytes: 0, lostEntries: 0, rejections: 0, rewinds: 0, snapshotChunks: 0,
	};
}

const addTraffic = (progress: PeerProgress, added: Partial<PeerTraffic>): PeerProgress => {
	const {traffic} = progress;
	return {
		...progress,
		traffic: {
			messages: traffic.messages + (added.messages ?? 0),
			bytes: traffic.bytes + (added.bytes ?? 0),
			lostEntries: traffic.lostEntries + (added.lostEntries ?? 0),
			rejections: traffic.rejections + (added.rejections ?? 0),
			rewinds: traffic.rewinds + (added.rewinds ?? 0),
			snapshotChunks: traffic.snapshotChunks + (added.snapshotChunks ?? 0),
		},
	};
};

/**
 * Counts a message with entries.
 *
 * @param bytes - The bytes of the entries.
 */
export function recordSentEntries(progress: PeerProgress, bytes: number): PeerProgress {
	return addTraffic(progress, {messages: 1, bytes});
}

const countInFlightEntries = ({inFlight}: PeerProgress) => inFlight.reduce((sum, {previousIndex, lastIndex}) => sum + lastIndex - previousIndex, 0);

/** Counts a message that the peer rejected because entries before it were missing. */
export function recordRejection(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {rejections: 1});
}

/** Counts what is in flight as lost, because the peer rejected it. */
export function recordRejectedEntries(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {lostEntries: countInFlightEntries(progress)});
}

/** Counts what is in flight as lost, because it was not answered. */
export function recordRewind(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {rewinds: 1, lostEntries: countInFlightEntries(progress)});
}

/** Counts a chunk of the snapshot that the peer fetched. */
export function recordSnapshotChunk(progress: PeerProgress): PeerProgress {
	return addTraffic(progress, {snapshotChunks: 1});
}
