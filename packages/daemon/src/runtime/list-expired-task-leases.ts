import type {MonotonicMs} from '@samphiremill/common';
import {
	defaultEscrowTimings, minionLeaseMs, type NodeEvent, type NodeState,
} from '@samphiremill/core';

/**
 * Finds minions that have not renewed their lease for so long that the leases of all their tasks have
 * expired. A minion that cannot renew must have ended its tasks by then.
 *
 * @param options - `reported` holds, by minion, the incarnation for which an event was returned before.
 * @returns The events that free the resources of these tasks.
 */
export function listExpiredTaskLeases({state, reported, nowMs}: {
	readonly state: NodeState;
	readonly reported: ReadonlyMap<string, number>;
	readonly nowMs: MonotonicMs;
}): ReadonlyArray<Extract<NodeEvent, {readonly type: 'jobs/leaseEnded'}>> {
	const expiredAfterMs = minionLeaseMs + defaultEscrowTimings.taskLeaseMs;
	return [...state.membership.minions.entries.values()]
		.filter(({minion, incarnation, renewedAtMs}) => nowMs - renewedAtMs >= expiredAfterMs && reported.get(minion) !== incarnation)
		.map(({minion, incarnation}) => ({
			type: 'jobs/leaseEnded', minion, incarnation, nowMs,
		}));
}
