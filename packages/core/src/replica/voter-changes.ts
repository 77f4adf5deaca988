import type {NodeId} from '@samphiremill/common';
import {learnerStallTimeoutMs, requestResendIntervalMs} from './constants.js';
import {getLastIndex} from './log.js';
import type {ForwardedMessage} from './messages.js';
import {hasVoter} from './quorum.js';
import {appendAsLeader, reconcileProgress} from './replication.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	CatchUpRound, PeerProgress, PendingVoterChange, ReplicaState, RequestId, VoterChange, VoterChangeFailure, VoterIdentity,
} from './types.js';
import {getVoterProgress} from './voter-progress.js';

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

// The voters that leave the set: the node's earlier data folder, and the voter that the new one replaces.
const listLeaving = <Command>({voters}: ReplicaState<Command>, change: VoterChange): readonly VoterIdentity[] => change.type === 'add'
	? voters.filter(({node, storeId}) => node === change.replaces || (node === change.voter.node && storeId !== change.voter.storeId))
	: voters.filter(({node}) => node === change.node);

const isChangeApplied = <Command>(state: ReplicaState<Command>, change: VoterChange) =>
	listLeaving(state, change).length === 0 && (change.type === 'remove' || hasVoter(state.voters, change.voter));

const findRejectionReason = <Command>(state: ReplicaState<Command>, remaining: readonly VoterIdentity[]): VoterChangeFailure | undefined => {
	const {leadership, commitIndex, votersIndex} = state;
	if (leadership === undefined) {
		return 'noLeader';
	}

	if (leadership.voterChange !== undefined) {
		return 'anotherInProgress';
	}

	// A new change may start only if the previous one is known to be committed. A new leader knows that only
	// after the first commit in its own term.
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

	const leaving = listLeaving(state, change);
	const remaining = state.voters.filter(voter => !leaving.includes(voter));
	const reason = findRejectionReason(state, remaining);
	if (reason !== undefined) {
		return rejectRequest(state, context, request, reason);
	}

	const pending: PendingVoterChange = {
		...request,
		startedAtMs: context.nowMs,
		deadlineMs: context.nowMs + context.cfg.limits.learnerTimeoutMs,
		isLastStep: change.type === 'remove',
	};
	return change.type === 'remove'
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
 * Handles an operator's voter change on this node. It ends in `replica/proposalDone` or
 * `replica/proposalFailed`.
 *
 * @param request - The change and its request id.
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
 * Handles a voter change that another node forwarded. A node that is not the leader does not answer; the sender
 * retries.
 *
 * @param request - The change and the requesting node.
 */
export function handleForwardVoterChange<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	request: VoterRequest,
): ReplicaStep<Command> {
	return state.leadership === undefined ? createStep(state) : startChange(state, context, request);
}

/** Handles the leader's answer to a voter change. */
export function handleVoterAnswer<Command>(state: ReplicaState<Command>, message: ForwardedMessage): ReplicaStep<Command> {
	return finishVoterRequest(state, message.requestId, message.outcome);
}

// A learner need not hold the newest entry: under steady load one with a longer way than a majority never does. It is caught
// up once it syncs within half an election timeout what was committed when that time began.
const isCaughtUp = ({matchIndex}: PeerProgress, round: CatchUpRound, {cfg, nowMs}: ReplicaContext) =>
	matchIndex > 0 && matchIndex >= round.index && nowMs - round.startedAtMs <= cfg.limits.electionTimeoutMs / 2;

const awaitLearner = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{pending, progress, round}: {readonly pending: PendingVoterChange; readonly progress: PeerProgress | undefined; readonly round: CatchUpRound},
): ReplicaStep<Command> => {
	const {nowMs} = context;
	const syncedAtMs = Math.max(progress?.syncedAtMs ?? 0, pending.startedAtMs);
	if (nowMs >= pending.deadlineMs || nowMs - syncedAtMs > learnerStallTimeoutMs) {
		return rejectRequest(setVoterChange(state, context, undefined), context, pending, 'learnerTooSlow');
	}

	const isRoundOver = (progress?.matchIndex ?? 0) >= round.index;
	const catchUpRound = isRoundOver ? {index: state.commitIndex, startedAtMs: nowMs} : round;
	return createStep(catchUpRound === pending.catchUpRound ? state : setVoterChange(state, context, {...pending, catchUpRound}));
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

	const progress = getVoterProgress(state.leadership, change.voter);
	const round = pending.catchUpRound ?? {index: state.commitIndex, startedAtMs: context.nowMs};
	if (progress === undefined || !isCaughtUp(progress, round, context)) {
		return awaitLearner(state, context, {pending, progress, round});
	}

	// One voter is changed at a time. The leaving one goes first: the set without it needs no host more than the set with it.
	const [leaving] = listLeaving(state, change);
	return appendVoters(state, context, leaving === undefined
		? {pending: {...pending, isLastStep: true}, voters: [...state.voters, change.voter]}
		: {pending, voters: state.voters.filter(voter => voter !== leaving)});
};

const finishStep = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	pending: PendingVoterChange,
): ReplicaStep<Command> => {
	if (!pending.isLastStep) {
		const {entryIndex: _, ...learnerChange} = pending;
		return promoteLearner(setVoterChange(state, context, learnerChange), context, learnerChange);
	}

	return answerRequest(setVoterChange(state, context, undefined), context, {
		...pending, outcome: {type: 'committed', index: pending.entryIndex ?? state.votersIndex},
	});
};

/**
 * Advances the leader's voter change: once the learner has caught up, the voter that it replaces is removed; once that is
 * committed, the learner becomes a voter.
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

/** Resends unanswered voter changes and fails those whose deadline has passed. */
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
