import type {NodeId} from '@samphiremill/common';
import {startElection} from './elections.js';
import {getLastIndex} from './log.js';
import type {TimeoutNowMessage} from './messages.js';
import {isVotingReplica} from './quorum.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {ReplicaState} from './types.js';

const chooseTarget = <Command>(state: ReplicaState<Command>, context: ReplicaContext, to?: NodeId): NodeId | undefined => {
	const {leadership} = state;
	const voters = state.voters.map(({node}) => node).filter(node => node !== context.cfg.self);
	if (to !== undefined) {
		return voters.includes(to) ? to : undefined;
	}

	return voters.toSorted((left, right) =>
		(leadership?.progress.get(right)?.matchIndex ?? 0) - (leadership?.progress.get(left)?.matchIndex ?? 0))[0];
};

/**
 * Starts to hand leadership over, before a planned stop. The leader takes no proposals meanwhile;
 * they wait on their nodes for the next leader.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param to - The next leader; absent means the voter that is furthest.
 * @returns The next step; nothing changes where this node does not lead or is the sole voter.
 */
export function handleTransferLeadership<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	to?: NodeId,
): ReplicaStep<Command> {
	const {leadership} = state;
	const target = chooseTarget(state, context, to);
	if (leadership === undefined || target === undefined) {
		return createStep(state);
	}

	const transfer = {to: target, deadlineMs: context.nowMs + context.cfg.limits.electionTimeoutMs, isSent: false};
	return createStep({...state, leadership: {...leadership, transfer, isLeaseUsable: false}});
}

/**
 * Tells the target to start its election once it holds everything, or gives the transfer up.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function continueTransfer<Command>(state: ReplicaState<Command>, {nowMs}: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	const transfer = leadership?.transfer;
	if (leadership === undefined || transfer === undefined) {
		return createStep(state);
	}

	if (nowMs >= transfer.deadlineMs) {
		return createStep({...state, leadership: {...leadership, transfer: undefined}});
	}

	const isCaughtUp = leadership.progress.get(transfer.to)?.matchIndex === getLastIndex(state.log);
	if (transfer.isSent || !isCaughtUp) {
		return createStep(state);
	}

	return createStep(
		{...state, leadership: {...leadership, transfer: {...transfer, isSent: true}}},
		[createSend(transfer.to, {type: 'replica/timeoutNow', term: state.term})],
	);
}

/**
 * Starts an election because the leader asked for it.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param message - The leader's request.
 * @returns The next step.
 */
export function handleTimeoutNow<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	message: TimeoutNowMessage,
): ReplicaStep<Command> {
	const canStart = message.term === state.term
		&& isVotingReplica(state, context.cfg)
		&& (state.role === 'follower' || state.role === 'preCandidate');
	return canStart ? startElection(state, context, true) : createStep(state);
}
