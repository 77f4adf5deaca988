import type {MonotonicMs} from '@samphiremill/common';
import {
	defaultEscrowTimings, minionLeaseMs, type NodeEvent, type NodeState,
} from '@samphiremill/core';

/**
 * Finds minions that have been silent for so long that the leases of all their tasks have run out. A
 * minion that cannot renew must have ended its tasks by then.
 *
 * @param options - The entry host, the incarnations that were told before, and the time.
 * @returns The events that free what the tasks held.
 */
export function listExpiredTaskLeases({state, told, nowMs}: {
	readonly state: NodeState;
	readonly told: ReadonlyMap<string, number>;
	readonly nowMs: MonotonicMs;
}): ReadonlyArray<Extract<NodeEvent, {readonly type: 'jobs/leaseEnded'}>> {
	const expiredAfterMs = minionLeaseMs + defaultEscrowTimings.taskLeaseMs;
	return [...state.membership.minions.entries.values()]
		.filter(({minion, incarnation, renewedAtMs}) => nowMs - renewedAtMs >= expiredAfterMs && told.get(minion) !== incarnation)
		.map(({minion, incarnation}) => ({
			type: 'jobs/leaseEnded', minion, incarnation, nowMs,
		}));
}
