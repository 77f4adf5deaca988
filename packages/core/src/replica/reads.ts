import type {NodeId} from '@samphiremill/common';
import {requestResendIntervalMs} from './constants.js';
import type {ReadAnswerMessage} from './messages.js';
import {getQuorumValue} from './quorum.js';
import {hasLeaderLease} from './leader-lease.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {sendRound} from './sending.js';
import type {
	PendingLeaderRead, ReplicaEffect, ReplicaState, RequestId,
} from './types.js';
import {getVoterProgress} from './voter-progress.js';

const answerRead = <Command>(
	state: ReplicaState<Command>,
	{cfg}: ReplicaContext,
	{requestId, from, index}: Pick<PendingLeaderRead, 'requestId' | 'from' | 'index'>,
): ReplicaStep<Command> => from === cfg.self
	? setReadIndex(state, requestId, index)
	: createStep(state, [createSend(from, {type: 'replica/readAnswer', requestId, index})]);

const setReadIndex = <Command>(state: ReplicaState<Command>, requestId: RequestId, index: number): ReplicaStep<Command> => {
	const pending = state.reads.get(requestId);
	return pending === undefined
		? createStep(state)
		: finishReads({...state, reads: state.reads.set(requestId, {...pending, index})});
};

// Reads that arrive while a round is open wait for the next one, so that one round serves all of them.
const confirmByHeartbeatRound = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{requestId, from}: {readonly requestId: RequestId; readonly from: NodeId},
): ReplicaStep<Command> => {
	const {leadership} = state;
	if (leadership === undefined || leadership.reads.some(read => read.requestId === requestId)) {
		return createStep(state);
	}

	// Until the first entry of the term is committed, this leader may not know of all older commits.
	const index = Math.max(state.commitIndex, leadership.firstIndex);
	const read = {
		requestId, from, index, round: leadership.round + 1,
	};
	const next = {...state, leadership: {...leadership, reads: leadership.reads.push(read)}};
	return leadership.reads.isEmpty() ? sendRound(next, context) : createStep(next);
};

const startRead = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	read: {readonly requestId: RequestId; readonly from: NodeId},
): ReplicaStep<Command> => hasLeaderLease(state, context)
	? answerRead(state, context, {...read, index: state.commitIndex})
	: confirmByHeartbeatRound(state, context, read);

const sendRead = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	requestId: RequestId,
): ReplicaStep<Command> => {
	if (state.leadership !== undefined) {
		return startRead(state, context, {requestId, from: context.cfg.self});
	}

	return createStep(state, state.leader === undefined
		? []
		: [createSend(state.leader, {type: 'replica/readRequest', requestId})]);
};

/**
 * Starts a confirmed read on this node. It ends in `replica/readReady` once everything that was committed
 * before the read began is applied here, or in `replica/proposalFailed`.
 */
export function handleRead<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	requestId: RequestId,
): ReplicaStep<Command> {
	const {limits} = context.cfg;
	if (state.reads.size >= limits.maximumPendingRequests) {
		return createStep(state, [{
			type: 'replica/proposalFailed', requestId, failure: {type: 'notProposed', reason: 'busy'}, leader: state.leader,
		}]);
	}

	const pending = {
		deadlineMs: context.nowMs + limits.proposalTimeoutMs,
		resendAtMs: context.nowMs + requestResendIntervalMs,
		index: undefined,
	};
	return sendRead({...state, reads: state.reads.set(requestId, pending)}, context, requestId);
}

/** Handles another node's request for a read index. A node that is not the leader does not answer. */
export function handleReadRequest<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	read: {readonly requestId: RequestId; readonly from: NodeId},
): ReplicaStep<Command> {
	return state.leadership === undefined ? createStep(state) : startRead(state, context, read);
}

/** Handles the leader's answer with the index that a read must wait for. */
export function handleReadAnswer<Command>(state: ReplicaState<Command>, message: ReadAnswerMessage): ReplicaStep<Command> {
	return setReadIndex(state, message.requestId, message.index);
}

/**
 * Answers the leader's reads whose round a majority has acknowledged, and starts another round if more reads
 * wait for one.
 *
 * @param state - A leader.
 */
export function confirmReads<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	if (leadership === undefined || leadership.reads.isEmpty()) {
		return createStep(state);
	}

	const acked = getQuorumValue(state.voters.map(voter => voter.node === context.cfg.self
		? leadership.round
		: getVoterProgress(leadership, voter)?.ackedRound ?? 0));
	const ready = leadership.reads.filter(({round}) => round <= acked);
	if (ready.isEmpty()) {
		return createStep(state);
	}

	const reads = leadership.reads.filter(({round}) => round > acked);
	const needsRound = reads.some(({round}) => round > leadership.round);
	return chainSteps(
		createStep({...state, leadership: {...leadership, reads}}),
		...ready.toArray().map(read => (next: ReplicaState<Command>) => answerRead(next, context, read)),
		next => needsRound ? sendRound(next, context) : createStep(next),
	);
}

/** Completes the reads whose index has been applied on this node. */
export function finishReads<Command>(state: ReplicaState<Command>): ReplicaStep<Command> {
	const ready = state.reads.filter(({index}) => index !== undefined && index <= state.commitIndex);
	const effects = [...ready].map(([requestId, {index}]): ReplicaEffect<Command> => ({
		type: 'replica/readReady', requestId, index: index ?? 0,
	}));
	return createStep(effects.length === 0 ? state : {...state, reads: state.reads.deleteAll(ready.keys())}, effects);
}

/** Resends unanswered read requests and fails those whose deadline has passed. */
export function tickReads<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {nowMs} = context;
	const due = [...state.reads].filter(([, {resendAtMs, deadlineMs}]) => Math.min(resendAtMs, deadlineMs) <= nowMs);
	return chainSteps(
		createStep(state),
		...due.map(([requestId, pending]) => (next: ReplicaState<Command>) => {
			if (pending.deadlineMs <= nowMs) {
				return createStep<Command>({...next, reads: next.reads.delete(requestId)}, [{
					type: 'replica/proposalFailed', requestId, failure: {type: 'notProposed', reason: 'noLeader'}, leader: next.leader,
				}]);
			}

			const reads = next.reads.set(requestId, {...pending, resendAtMs: nowMs + requestResendIntervalMs});
			const renewed = {...next, reads};
			return pending.index === undefined ? sendRead(renewed, context, requestId) : createStep(renewed);
		}),
	);
}
