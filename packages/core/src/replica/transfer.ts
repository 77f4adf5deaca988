import type {NodeId} from '@samphiremill/common';
import {startElection} from './elections.js';
import {getLastIndex} from './log.js';
import type {TimeoutNowMessage} from './messages.js';
import {isVotingReplica} from './quorum.js';
import {stepDown} from './roles.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {ReplicaState} from './types.js';
import {getVoterProgress} from './voter-progress.js';

const chooseTarget = <Command>(state: ReplicaState<Command>, context: ReplicaContext, to?: NodeId): NodeId | undefined => {
	const {leadership} = state;
	const voters = state.voters.filter(({node}) => node !== context.cfg.self);
	if (to !== undefined) {
		return voters.some(({node}) => node === to) ? to : undefined;
	}

	return voters.toSorted((left, right) =>
		(getVoterProgress(leadership, right)?.matchIndex ?? 0) - (getVoterProgress(leadership, left)?.matchIndex ?? 0))[0]?.node;
};

/**
 * Starts a leadership transfer, before a planned stop. Until it ends, the leader accepts no proposals; they
 * wait on their nodes for the next leader. Nothing happens if this node does not lead or is the sole voter.
 *
 * @param to - The next leader. If absent, the voter with the highest match index is chosen.
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

/** Transfers leadership because this leader cannot do its duties. A sole voter begins a new term itself. */
export function handleGiveWay<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	return state.leadership !== undefined && chooseTarget(state, context) === undefined
		? createStep(stepDown(state, context))
		: handleTransferLeadership(state, context);
}

/**
 * Tells the target to start its election once it has the whole log. When the deadline of the transfer passes, this
 * node stops leading: a delayed message could still depose it, so its lease stays unusable in this term. In a
 * later term that message has no effect.
 */
export function continueTransfer<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	const {nowMs} = context;
	const transfer = leadership?.transfer;
	if (leadership === undefined || transfer === undefined) {
		return createStep(state);
	}

	if (nowMs >= transfer.deadlineMs) {
		return createStep(stepDown(state, context));
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

/** Starts an election because the leader requested it. */
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
