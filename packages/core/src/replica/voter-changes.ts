import type {NodeId} from '@samphiremill/common';
import {requestResendIntervalMs} from './constants.js';
import {getLastIndex} from './log.js';
import type {ForwardedMessage} from './messages.js';
import {hasVoter} from './quorum.js';
import {appendAsLeader, reconcileProgress} from './replication.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	PendingVoterChange, ReplicaState, RequestId, VoterChange, VoterChangeFailure, VoterIdentity,
} from './types.js';

type VoterRequest = {
	readonly requestId: RequestId;
	readonly from: NodeId;
	readonly change: VoterChange;
};

type VoterOutcome = ForwardedMessage['outcome'];

const finishVoterRequest = <Command>(
	state: ReplicaState<Command>,
	requestId: RequestId,
	outcome: VoterOutcome,
): ReplicaStep<Command> => {
	if (!state.voterRequests.has(requestId) || outcome.type === 'notLeader') {
		return createStep(state);
	}

	const next = {...state, voterRequests: state.voterRequests.delete(requestId)};
	return createStep(next, [outcome.type === 'committed'
		? {type: 'replica/proposalDone', requestId, index: outcome.index}
		: {
			type: 'replica/proposalFailed', requestId, failure: outcome.failure, leader: state.leader,
		}]);
};

const answerRequest = <Command>(
	state: ReplicaState<Command>,
	{cfg}: ReplicaContext,
	{requestId, from, outcome}: Omit<VoterRequest, 'change'> & {readonly outcome: VoterOutcome},
): ReplicaStep<Command> => from === cfg.self
	? finishVoterRequest(state, requestId, outcome)
	: createStep(state, [createSend(from, {type: 'replica/forwarded', requestId, outcome})]);

const rejectRequest = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	request: VoterRequest,
	reason: VoterChangeFailure,
): ReplicaStep<Command> => answerRequest(state, context, {
	...request, outcome: {type: 'failed', failure: {type: 'invalidVoterChange', reason}},
});

const setVoterChange = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	voterChange: PendingVoterChange | undefined,
): ReplicaState<Command> => state.leadership === undefined
	? state
	: reconcileProgress({...state, leadership: {...state.leadership, voterChange}}, context);

const appendVoters = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{pending, voters}: {readonly pending: PendingVoterChange; readonly voters: readonly VoterIdentity[]},
): ReplicaStep<Command> => {
	const entryIndex = getLastIndex(state.log) + 1;
	return appendAsLeader(setVoterChange(state, context, {...pending, entryIndex}), context, [{type: 'voters', voters}]);
};

const isChangeApplied = <Command>(state: ReplicaState<Command>, change: VoterChange) => change.type === 'add'
	? hasVoter(state.voters, change.voter)
	: state.voters.every(({node}) => node !== change.node);

const findRejectionReason = <Command>(state: ReplicaState<Command>, remaining: readonly VoterIdentity[]): VoterChangeFailure | undefined => {
	const {leadership, commitIndex, votersIndex} = state;
	if (leadership === undefined) {
		return 'noLeader';
	}

	if (leadership.voterChange !== undefined) {
		return 'anotherInProgress';
	}

	// Two changes may be on their way at once only if the first one is known to be committed, and a
	// new leader knows that only from the first commit of its own term on.
	if (commitIndex < leadership.firstIndex || commitIndex < votersIndex) {
		return 'notReady';
	}

	return remaining.length === 0 ? 'lastVoter' : undefined;
};

const startChange = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	request: VoterRequest,
): ReplicaStep<Command> => {
	const {change} = request;
	if (state.leadership?.voterChange?.requestId === request.requestId) {
		return createStep(state);
	}

	if (isChangeApplied(state, change) && state.commitIndex >= state.votersIndex) {
		return answerRequest(state, context, {...request, outcome: {type: 'committed', index: state.votersIndex}});
	}

	const node = change.type === 'add' ? change.voter.node : change.node;
	const remaining = state.voters.filter(voter => voter.node !== node);
	const reason = findRejectionReason(state, remaining);
	if (reason !== undefined) {
		return rejectRequest(state, context, request, reason);
	}

	const pending: PendingVoterChange = {
		...request, deadlineMs: context.nowMs + context.cfg.limits.learnerTimeoutMs, isLastStep: change.type === 'remove',
	};
	// The old life of a node that lost its disk leaves the set before the new one joins.
	return remaining.length < state.voters.length
		? appendVoters(state, context, {pending, voters: remaining})
		: createStep(setVoterChange(state, context, pending));
};

const sendVoterRequest = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	requestId: RequestId,
): ReplicaStep<Command> => {
	const pending = state.voterRequests.get(requestId);
	if (pending === undefined) {
		return createStep(state);
	}

	if (state.leadership !== undefined) {
		return startChange(state, context, {requestId, from: context.cfg.self, change: pending.change});
	}

	return createStep(state, state.leader === undefined
		? []
		: [createSend(state.leader, {type: 'replica/forwardVoterChange', requestId, change: pending.change})]);
};

/**
 * Takes an operator's voter change on this node.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param request - The change under its request id.
 * @returns The next step. It ends in `replica/proposalDone` or `replica/proposalFailed`.
 */
export function handleChangeVoters<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{requestId, change}: Omit<VoterRequest, 'from'>,
): ReplicaStep<Command> {
	const pending = {
		change,
		deadlineMs: context.nowMs + context.cfg.limits.learnerTimeoutMs + context.cfg.limits.proposalTimeoutMs,
		resendAtMs: context.nowMs + requestResendIntervalMs,
	};
	return sendVoterRequest({...state, voterRequests: state.voterRequests.set(requestId, pending)}, context, requestId);
}

/**
 * Takes a voter change that another node forwarded. A node that does not lead says nothing; the
 * sender tries again.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param request - The change and who asks.
 * @returns The next step.
 */
export function handleForwardVoterChange<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	request: VoterRequest,
): ReplicaStep<Command> {
	return state.leadership === undefined ? createStep(state) : startChange(state, context, request);
}

/**
 * Takes the leader's answer to a voter change.
 *
 * @param state - The state.
 * @param message - The answer.
 * @returns The next step.
 */
export function handleVoterAnswer<Command>(state: ReplicaState<Command>, message: ForwardedMessage): ReplicaStep<Command> {
	return finishVoterRequest(state, message.requestId, message.outcome);
}

const finishStep = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	pending: PendingVoterChange,
): ReplicaStep<Command> => {
	if (!pending.isLastStep) {
		const {entryIndex: _, ...learnerChange} = pending;
		return createStep(setVoterChange(state, context, learnerChange));
	}

	return answerRequest(setVoterChange(state, context, undefined), context, {
		...pending, outcome: {type: 'committed', index: pending.entryIndex ?? state.votersIndex},
	});
};

const promoteLearner = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	pending: PendingVoterChange,
): ReplicaStep<Command> => {
	const {change} = pending;
	if (change.type === 'remove') {
		return createStep(state);
	}

	const matchIndex = state.leadership?.progress.get(change.voter.node)?.matchIndex ?? 0;
	if (matchIndex > 0 && matchIndex >= state.commitIndex) {
		return appendVoters(state, context, {
			pending: {...pending, isLastStep: true}, voters: [...state.voters, change.voter],
		});
	}

	return context.nowMs < pending.deadlineMs
		? createStep(state)
		: rejectRequest(setVoterChange(state, context, undefined), context, pending, 'learnerTooSlow');
};

/**
 * Moves the leader's voter change on: from the removed old voter to the learner, from the caught-up
 * learner to the voter.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function continueVoterChange<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const pending = state.leadership?.voterChange;
	if (pending === undefined) {
		return createStep(state);
	}

	if (pending.entryIndex === undefined) {
		return promoteLearner(state, context, pending);
	}

	return state.commitIndex >= pending.entryIndex ? finishStep(state, context, pending) : createStep(state);
}

/**
 * Asks again for unanswered voter changes and gives up those that are past their deadline.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function tickVoterRequests<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {nowMs} = context;
	const due = [...state.voterRequests].filter(([, {resendAtMs, deadlineMs}]) => Math.min(resendAtMs, deadlineMs) <= nowMs);
	return chainSteps(
		createStep(state),
		...due.map(([requestId, pending]) => (next: ReplicaState<Command>) => {
			if (pending.deadlineMs <= nowMs) {
				return finishVoterRequest(next, requestId, {type: 'failed', failure: {type: 'unknown'}});
			}

			const voterRequests = next.voterRequests.set(requestId, {...pending, resendAtMs: nowMs + requestResendIntervalMs});
			return sendVoterRequest({...next, voterRequests}, context, requestId);
		}),
	);
}
