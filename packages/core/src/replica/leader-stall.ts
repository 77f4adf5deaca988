/**
 * Finds out that a leader does nothing for the cluster: it commits nothing, or it has no lease to act by.
 */
import type {NodeId} from '@samphiremill/common';
import {hasLeaderLease} from './leader-lease.js';
import {getLastIndex} from './log.js';
import {getQuorumValue, hasVoter} from './quorum.js';
import type {ReplicaContext} from './replica-step.js';
import type {Leadership, ReplicaConfig, ReplicaState} from './types.js';
import {recordSnapshotChunk} from './peer-traffic.js';
import {getVoterProgress} from './voter-progress.js';

/**
 * Returns the index up to which a majority of voters has synced entries.
 *
 * @param state - A leader.
 */
export function getSyncedIndex<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): number {
	return getQuorumValue(state.voters.map(voter => voter.node === cfg.self
		? state.persistence.persistedIndex
		: getVoterProgress(state.leadership, voter)?.matchIndex ?? 0));
}

/**
 * Records what a leader has achieved by now. A majority that syncs older entries, which cannot be committed yet, counts
 * as progress.
 *
 * @param state - A leader.
 */
export function updateLeaderActivity<Command>(
	state: ReplicaState<Command>,
	leadership: Leadership,
	context: ReplicaContext,
): Leadership {
	const {activity} = leadership;
	const syncedIndex = getSyncedIndex(state, context.cfg);
	const isIdle = state.commitIndex === getLastIndex(state.log);
	return {
		...leadership,
		activity: {
			syncedIndex,
			progressedAtMs: isIdle || syncedIndex > activity.syncedIndex ? context.nowMs : activity.progressedAtMs,
			leaseHeldAtMs: hasLeaderLease(state, context) ? context.nowMs : activity.leaseHeldAtMs,
		},
	};
}

/**
 * Counts a chunk of the snapshot that a peer has received as its progress. A chunk for a voter is progress of the leader
 * as well: the other entries follow once the voter has the whole snapshot, and no other leader could send it sooner.
 */
export function recordSnapshotProgress<Command>(
	state: ReplicaState<Command>,
	{nowMs}: ReplicaContext,
	{from, offset}: {readonly from: NodeId; readonly offset: number},
): ReplicaState<Command> {
	const {leadership} = state;
	const progress = leadership?.progress.get(from);
	if (leadership === undefined || progress === undefined || offset === 0) {
		return state;
	}

	const isVoter = hasVoter(state.voters, {node: from, storeId: progress.storeId});
	return {
		...state,
		leadership: {
			...leadership,
			progress: leadership.progress.set(from, {...recordSnapshotChunk(progress), syncedAtMs: nowMs}),
			activity: isVoter ? {...leadership.activity, progressedAtMs: nowMs, leaseHeldAtMs: nowMs} : leadership.activity,
		},
	};
}

/** Returns whether a leader is to give way to others. */
export function isLeaderStalled({activity: {progressedAtMs, leaseHeldAtMs}}: Leadership, {cfg, nowMs}: ReplicaContext): boolean {
	return nowMs - Math.min(progressedAtMs, leaseHeldAtMs) > cfg.limits.leaderStallTimeoutMs;
}
