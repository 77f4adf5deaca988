import {getQuorumValue} from './quorum.js';
import type {ReplicaContext} from './replica-step.js';
import type {ReplicaState} from './types.js';
import {getVoterProgress} from './voter-progress.js';

/**
 * Returns when the newest round that a majority has acknowledged was sent, in monotonic milliseconds.
 *
 * @param state - A leader.
 */
export function getConfirmedSendMs<Command>(state: ReplicaState<Command>, {cfg, nowMs}: ReplicaContext): number {
	return getQuorumValue(state.voters.map(voter => voter.node === cfg.self
		? nowMs
		: getVoterProgress(state.leadership, voter)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY));
}

/**
 * Returns whether the leader lease holds and the first entry of the term is committed. The leader may then act
 * alone: a majority heard from it so recently that no other leader can have been elected, whatever state the
 * network is in.
 */
export function hasLeaderLease<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
): boolean {
	const {leadership} = state;
	if (leadership === undefined || !leadership.isLeaseUsable || state.commitIndex < leadership.firstIndex) {
		return false;
	}

	return context.nowMs < getConfirmedSendMs(state, context) + context.cfg.limits.leaderLeaseMs;
}
