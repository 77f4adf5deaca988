import {getQuorumValue} from './quorum.js';
import type {ReplicaContext} from './replica-step.js';
import type {ReplicaState} from './types.js';

/**
 * @param state - A leader.
 * @param context - The set-up and the time.
 * @returns When the newest round was sent that a majority has acknowledged, in monotonic milliseconds.
 */
export function getConfirmedSendMs<Command>(state: ReplicaState<Command>, {cfg, nowMs}: ReplicaContext): number {
	return getQuorumValue(state.voters.map(({node}) => node === cfg.self
		? nowMs
		: state.leadership?.progress.get(node)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY));
}

/**
 * Whether this leader may act alone: a majority heard from it so lately that no other can have been
 * elected, whatever the network does now.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns Whether the leader lease holds and the term's first entry is committed.
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
