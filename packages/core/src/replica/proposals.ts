import {assertNever, type NodeId} from '@samphiremill/common';
import {requestResendIntervalMs} from './constants.js';
import {getBytesBetween, getLastIndex} from './log.js';
import type {ForwardedMessage, ForwardMessage} from './messages.js';
import {appendAsLeader} from './replication.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	PendingProposal, ReplicaConfig, ReplicaEffect, ReplicaFailure, ReplicaState, RequestId,
} from './types.js';

const failProposal = <Command>(
	state: ReplicaState<Command>,
	requestId: RequestId,
	failure: ReplicaFailure,
): ReplicaStep<Command> => createStep({...state, proposals: state.proposals.delete(requestId)}, [{
	type: 'replica/proposalFailed', requestId, failure, leader: state.leader,
}]);

// While no majority syncs, a leader's log must not grow with each proposal that is made meanwhile.
const hasRoom = <Command>({log, commitIndex}: ReplicaState<Command>, {limits}: ReplicaConfig) =>
	getBytesBetween(log, {after: commitIndex, upTo: getLastIndex(log)}) < limits.maximumUncommittedBytes;

const appendOnce = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{requestId, command}: {readonly requestId: RequestId; readonly command: Command},
): ReplicaStep<Command> => state.log.requests.has(requestId)
	? createStep(state)
	: appendAsLeader(state, context, [{type: 'command', requestId, command}]);

const isAcceptingProposals = <Command>(state: ReplicaState<Command>) =>
	state.leadership !== undefined && state.leadership.transfer === undefined;

// A proposal keeps its request id when it is resent. Any leader that already has the entry recognises it and,
// once it is committed, answers with its index.
const sendProposal = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	requestId: RequestId,
): ReplicaStep<Command> => {
	const pending = state.proposals.get(requestId);
	if (pending === undefined || pending.index !== undefined) {
		return createStep(state);
	}

	const isLocal = isAcceptingProposals(state);
	if (isLocal && !state.log.requests.has(requestId) && !hasRoom(state, context.cfg)) {
		return pending.wasSent ? createStep(state) : failProposal(state, requestId, {type: 'notProposed', reason: 'busy'});
	}

	const to = state.leader === context.cfg.self ? undefined : state.leader;
	const sent: PendingProposal<Command> = {
		...pending,
		resendAtMs: context.nowMs + requestResendIntervalMs,
		wasSent: pending.wasSent || isLocal || to !== undefined,
	};
	const next = {...state, proposals: state.proposals.set(requestId, sent)};
	if (isLocal) {
		return appendOnce(next, context, {requestId, command: pending.command});
	}

	const message: ForwardMessage<Command> = {type: 'replica/forward', requestId, command: pending.command};
	return createStep(next, to === undefined ? [] : [createSend(to, message)]);
};

/**
 * Handles a proposal made on this node. It ends in `replica/proposalDone` once the entry is applied here, or in
 * `replica/proposalFailed`.
 *
 * @param proposal - The command and its request id.
 */
export function handlePropose<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{requestId, command}: {readonly requestId: RequestId; readonly command: Command},
): ReplicaStep<Command> {
	const {limits} = context.cfg;
	if (state.proposals.size >= limits.maximumPendingRequests) {
		return failProposal(state, requestId, {type: 'notProposed', reason: 'busy'});
	}

	const pending: PendingProposal<Command> = {
		command,
		deadlineMs: context.nowMs + limits.proposalTimeoutMs,
		resendAtMs: context.nowMs + requestResendIntervalMs,
		wasSent: false,
		index: undefined,
	};
	return sendProposal({...state, proposals: state.proposals.set(requestId, pending)}, context, requestId);
}

/**
 * Handles a proposal that another node forwarded. The sender learns of the commit by applying the entry. A
 * resent proposal that is already committed is answered with its index.
 */
export function handleForward<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: ForwardMessage<Command>},
): ReplicaStep<Command> {
	const answer = (outcome: ForwardedMessage['outcome']) => createStep(state, [
		createSend<Command>(from, {type: 'replica/forwarded', requestId: message.requestId, outcome}),
	]);
	if (!isAcceptingProposals(state)) {
		return answer({type: 'notLeader', leader: state.leader});
	}

	const index = state.log.requests.get(message.requestId);
	if (index !== undefined && index <= state.commitIndex) {
		return answer({type: 'committed', index});
	}

	// An earlier leader may hold the proposal, so it is not known that it has no effect.
	return index === undefined && !hasRoom(state, context.cfg)
		? answer({type: 'failed', failure: {type: 'unknown'}})
		: appendOnce(state, context, message);
}

/** Handles the answer to a forwarded proposal. */
export function handleForwarded<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{requestId, outcome}: ForwardedMessage,
): ReplicaStep<Command> {
	const pending = state.proposals.get(requestId);
	if (pending === undefined) {
		return createStep(state);
	}

	switch (outcome.type) {
		case 'committed': {
			const proposals = state.proposals.set(requestId, {...pending, index: outcome.index});
			return finishProposals({...state, proposals}, []);
		}

		case 'notLeader': {
			const isObserver = state.role === 'observer' && outcome.leader !== undefined && outcome.leader !== context.cfg.self;
			return createStep(isObserver ? {...state, leader: outcome.leader} : state);
		}

		case 'failed': {
			return failProposal(state, requestId, outcome.failure);
		}

		default: {
			return assertNever(outcome);
		}
	}
}

/**
 * Completes the proposals whose entries have been applied on this node.
 *
 * @param state - The state after the entries were applied.
 * @param appliedIds - The request ids of the entries just applied, with their indexes.
 */
export function finishProposals<Command>(
	state: ReplicaState<Command>,
	appliedIds: ReadonlyArray<{readonly requestId: RequestId; readonly index: number}>,
): ReplicaStep<Command> {
	if (state.proposals.isEmpty()) {
		return createStep(state);
	}

	const applied = appliedIds.filter(({requestId}) => state.proposals.has(requestId));
	const committedEarlier = [...state.proposals]
		.filter(([, {index}]) => index !== undefined && index <= state.commitIndex)
		.map(([requestId, {index}]) => ({requestId, index: index ?? 0}));
	const done = [...applied, ...committedEarlier.filter(({requestId}) => !applied.some(other => other.requestId === requestId))];
	const effects = done.map(({requestId, index}): ReplicaEffect<Command> => ({type: 'replica/proposalDone', requestId, index}));
	return createStep({...state, proposals: state.proposals.deleteAll(done.map(({requestId}) => requestId))}, effects);
}

/** Sends unanswered proposals to a leader that has just become known. */
export function resendProposals<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	return chainSteps(
		createStep(state),
		...state.proposals.keySeq().toArray().map(requestId => (next: ReplicaState<Command>) => sendProposal(next, context, requestId)),
	);
}

/** Resends unanswered proposals and fails those whose deadline has passed. */
export function tickProposals<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {nowMs} = context;
	const due = [...state.proposals].filter(([, {resendAtMs, deadlineMs}]) => Math.min(resendAtMs, deadlineMs) <= nowMs);
	return chainSteps(
		createStep(state),
		...due.map(([requestId, {deadlineMs, wasSent}]) => (next: ReplicaState<Command>) => {
			if (deadlineMs > nowMs) {
				return sendProposal(next, context, requestId);
			}

			return failProposal(next, requestId, wasSent ? {type: 'unknown'} : {type: 'notProposed', reason: 'noLeader'});
		}),
	);
}
