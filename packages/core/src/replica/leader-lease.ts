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
	return isLeaderLeaseHeld(state, {...context, confirmedAtMs: getConfirmedSendMs(state, context)});
}

/**
 * Does the same as `hasLeaderLease` for a caller that knows when the newest round that a majority has acknowledged was sent.
 *
 * @param context - `confirmedAtMs` is what `getConfirmedSendMs` returns for the state.
 */
export function isLeaderLeaseHeld<Command>(
	{leadership, commitIndex}: ReplicaState<Command>,
	{nowMs, cfg, confirmedAtMs}: Pick<ReplicaContext, 'cfg' | 'nowMs'> & {readonly confirmedAtMs: number},
): boolean {
	if (leadership === undefined || !leadership.isLeaseUsable || commitIndex < leadership.firstIndex) {
		return false;
	}

	return nowMs < confirmedAtMs + cfg.limits.leaderLeaseMs;
}
