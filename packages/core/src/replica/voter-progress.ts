/**
 * The leader's view of the voters. Progress is kept by node; a node that returned with a new data folder reports for
 * that folder only.
 */
import type {NodeId} from '@samphiremill/common';
import type {
	Leadership, PeerProgress, ReplicaState, VoterIdentity,
} from './types.js';

/**
 * Returns the progress of exactly this voter, or `undefined` if there is none.
 *
 * A voter whose data folder is gone stays in the set until its successor has caught up. Until then it makes a majority
 * larger and is never part of one: its store id is in no folder any more, so nobody votes or acknowledges as that
 * voter, and what its node acknowledges as a learner counts for the learner only.
 */
export function getVoterProgress(leadership: Leadership | undefined, {node, storeId}: VoterIdentity): PeerProgress | undefined {
	const progress = leadership?.progress.get(node);
	return progress?.storeId === storeId ? progress : undefined;
}

/** Returns whether this node's disk has left a write unsynced for longer than `timeoutMs`. */
export function isDiskHanging<Command>({persistence}: ReplicaState<Command>, {nowMs, timeoutMs}: {readonly nowMs: number; readonly timeoutMs: number}): boolean {
	const [oldest] = persistence.pending;
	return oldest !== undefined && nowMs - oldest.sinceMs > timeoutMs;
}

/**
 * Lists the voters that have synced nothing for some time although entries waited for them: they are down, cut off, or
 * their disks hang. Empty on a node that does not lead.
 *
 * @param options - The leader, its monotonic time, and the time without progress, in milliseconds.
 */
export function listStalledVoters<Command>(
	{leadership, voters}: ReplicaState<Command>,
	{self, nowMs, timeoutMs}: {readonly self: NodeId; readonly nowMs: number; readonly timeoutMs: number},
): readonly VoterIdentity[] {
	return leadership === undefined
		? []
		: voters.filter(voter => {
			const syncedAtMs = getVoterProgress(leadership, voter)?.syncedAtMs ?? leadership.startedAtMs;
			return voter.node !== self && nowMs - syncedAtMs > timeoutMs;
		});
}
