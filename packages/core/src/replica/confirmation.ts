/**
 * The configuration lease. Normally the leader's heartbeats confirm its commit index to the other voters.
 * Without a leader, a voter asks a majority for the last index of their logs. Whatever was committed before it
 * asked is covered by at least one of the answers. Once it has applied everything up to them, its configuration
 * was the newest when it asked. Every other node asks its upstream.
 */
import type {NodeId} from '@samphiremill/common';
import {Map as ImmutableMap} from 'immutable';
import {maximumOpenPolls, maximumWaitingRequestsPerNode} from './constants.js';
import {getLastIndex} from './log.js';
import type {
	AppendMessage, ConfirmedMessage, PollAnswerMessage, PollMessage,
} from './messages.js';
import {
	getOtherVoters, getQuorumSize, hasVoter, isVotingReplica,
} from './quorum.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	ConfirmationPoll, ConfirmationState, ReplicaState, ConfirmationRequest,
} from './types.js';
import {getUpstream, recordUpstreamContact} from './upstream.js';

/** Whether this node's configuration may be relied on. */
export type ConfigurationFreshness = 'fresh' | 'stale' | 'starting';

/**
 * Returns `fresh` while the configuration lease holds, `stale` after it expired and `starting` before the first
 * confirmation since the start.
 *
 * @param options - The time in monotonic milliseconds and the duration of the lease.
 */
export function getConfigurationFreshness<Command>(
	state: ReplicaState<Command>,
	{nowMs, leaseMs}: {readonly nowMs: number; readonly leaseMs: number},
): ConfigurationFreshness {
	const {confirmedAtMs} = state.confirmation;
	if (confirmedAtMs === undefined) {
		return 'starting';
	}

	return nowMs < confirmedAtMs + leaseMs ? 'fresh' : 'stale';
}

/**
 * Records that a subscriber requests a confirmation. The next poll, which is sent after this, answers it.
 *
 * @param from - The requesting node.
 * @param request - The token of the request and when it was received.
 */
export function addConfirmationRequest<Command>(state: ReplicaState<Command>, from: NodeId, request: ConfirmationRequest): ReplicaState<Command> {
	const {confirmation} = state;
	const requests = [...confirmation.waitingRequests.get(from) ?? [], request].slice(-maximumWaitingRequestsPerNode);
	return {...state, confirmation: {...confirmation, waitingRequests: confirmation.waitingRequests.set(from, requests)}};
}

// Requests received after the confirmed time wait for the next confirmation. Older requests are answered even
// if newer ones wait; otherwise a node that asks often would never get an answer.
const getNewestTokens = ({waitingRequests}: ConfirmationState, untilMs: number): ImmutableMap<NodeId, number> => {
	const newest = waitingRequests.map(requests => requests.findLast(({receivedAtMs}) => receivedAtMs <= untilMs)?.token);
	return ImmutableMap([...newest].flatMap(([node, token]) => token === undefined ? [] : [[node, token] as const]));
};

/**
 * Completes the polls whose index has been applied, for this node and for the nodes that requested a
 * confirmation. A node confirms to others only what it can also feed to them.
 */
export function completeConfirmations<Command>(state: ReplicaState<Command>): ReplicaStep<Command> {
	const {confirmation, commitIndex, leader} = state;
	const isComplete = ({index}: ConfirmationPoll) => index !== undefined && index <= commitIndex;
	const completed = confirmation.polls.filter(poll => isComplete(poll));
	if (completed.length === 0) {
		return createStep(state);
	}

	const confirmedAtMs = Math.max(
		...completed.map(({sentAtMs}) => sentAtMs),
		confirmation.confirmedAtMs ?? Number.NEGATIVE_INFINITY,
	);
	const polls = confirmation.polls.filter(poll => !isComplete(poll));
	const answers = completed.flatMap(({requesterTokens, index}) => [...requesterTokens].map(([to, token]) => createSend<Command>(to, {
		type: 'replica/confirmed', token, index: index ?? 0, leader,
	})));
	return createStep({...state, confirmation: {...confirmation, polls, confirmedAtMs}}, answers);
}

// A later answer may lower the index that the poll has to wait for.
const confirmPoll = <Command>(
	state: ReplicaState<Command>,
	poll: ConfirmationPoll,
	index: number,
): ReplicaStep<Command> => {
	const confirmed = {...poll, index: Math.min(poll.index ?? index, index)};
	const polls = state.confirmation.polls.map(other => other.round === poll.round ? confirmed : other);
	return completeConfirmations({...state, confirmation: {...state.confirmation, polls}});
};

/**
 * Adds a confirmation that arrived without a poll, for this node and for all nodes that requested one before.
 *
 * @param confirmed - Nothing beyond the index was committed at this time, in monotonic milliseconds.
 */
export function addConfirmation<Command>(
	state: ReplicaState<Command>,
	{sentAtMs, index}: {readonly sentAtMs: number; readonly index: number},
): ReplicaStep<Command> {
	const {confirmation} = state;
	const poll: ConfirmationPoll = {
		round: confirmation.nextRound,
		sentAtMs,
		index,
		answers: ImmutableMap(),
		requesterTokens: getNewestTokens(confirmation, sentAtMs),
	};
	return completeConfirmations({
		...state,
		confirmation: {
			...confirmation,
			nextRound: confirmation.nextRound + 1,
			polls: [...confirmation.polls, poll].slice(-maximumOpenPolls),
			waitingRequests: confirmation.waitingRequests
				.map(requests => requests.filter(({receivedAtMs}) => receivedAtMs > sentAtMs))
				.filter(requests => requests.length > 0),
		},
	});
}

/**
 * Handles the confirmation in a leader's heartbeat. A confirmation of a message that an earlier incarnation of
 * this process sent is ignored.
 *
 * @param state - A voter or learner.
 */
export function handleHeartbeatConfirmation<Command>(state: ReplicaState<Command>, message: AppendMessage<Command>): ReplicaStep<Command> {
	const {confirms, commitIndex} = message;
	return confirms?.life === state.confirmation.processIncarnation
		? addConfirmation(state, {sentAtMs: confirms.sentAtMs, index: commitIndex})
		: createStep(state);
}

const countAnswer = <Command>(
	state: ReplicaState<Command>,
	poll: ConfirmationPoll,
	{from, lastIndex}: {readonly from: NodeId; readonly lastIndex: number},
): ReplicaStep<Command> => {
	const answered = {...poll, answers: poll.answers.set(from, lastIndex)};
	const polls = state.confirmation.polls.map(other => other.round === poll.round ? answered : other);
	const next = {...state, confirmation: {...state.confirmation, polls}};
	const ascending = [...answered.answers.values()].toSorted((left, right) => left - right);
	const index = ascending[getQuorumSize(state.voters.length) - 1];
	return index === undefined ? createStep(next) : confirmPoll(next, answered, index);
};

const startPoll = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> => {
	const {cfg, nowMs} = context;
	const {confirmation} = state;
	const round = confirmation.nextRound;
	const poll: ConfirmationPoll = {
		round, sentAtMs: nowMs, index: undefined, answers: ImmutableMap(), requesterTokens: getNewestTokens(confirmation, nowMs),
	};
	const next: ReplicaState<Command> = {
		...state,
		confirmation: {
			...confirmation,
			nextRound: round + 1,
			nextPollMs: nowMs + cfg.limits.confirmationPeriodMs,
			lastPollMs: nowMs,
			polls: [...confirmation.polls, poll].slice(-maximumOpenPolls),
			waitingRequests: ImmutableMap(),
		},
	};
	const isVoter = isVotingReplica(next, cfg);
	const upstream = getUpstream(next, cfg);
	const polls = isVoter ? getOtherVoters(next, cfg).map(to => createSend<Command>(to, {type: 'replica/poll', round})) : [];
	const pulls = upstream === undefined
		? []
		: [createSend<Command>(upstream, {
			type: 'replica/pull', lastIndex: next.commitIndex, ...(!isVoter && {token: round}),
		})];
	return chainSteps(
		createStep(next, [...polls, ...pulls]),
		polled => isVoter
			? countAnswer(polled, poll, {from: cfg.self, lastIndex: getLastIndex(polled.log)})
			: createStep(polled),
	);
};

/**
 * Renews the configuration lease when it is due, for this node and for all nodes that requested a confirmation.
 */
export function tickConfirmation<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {nextPollMs, lastPollMs, waitingRequests, confirmedAtMs = Number.NEGATIVE_INFINITY} = state.confirmation;
	const {cfg, nowMs} = context;
	// A voter does not poll while the leader's heartbeats confirm its configuration.
	const isVoter = isVotingReplica(state, cfg);
	const isConfirmedByLeader = state.voters.length > 1
		&& isVoter
		&& nowMs - confirmedAtMs < cfg.limits.heartbeatConfirmationMaximumAgeMs;
	if (isConfirmedByLeader) {
		return createStep(state);
	}

	const spacingMs = isVoter ? cfg.limits.minimumPollIntervalMs : cfg.limits.minimumPullIntervalMs;
	const isRequested = !waitingRequests.isEmpty() && nowMs >= lastPollMs + spacingMs;
	return isRequested || nowMs >= nextPollMs ? startPoll(state, context) : createStep(state);
}

/**
 * Answers a poll with the last index of this node's log. Entries that are not synced yet count as well, which
 * can only make the requester wait longer. A node without a disk does not answer.
 */
export function handlePoll<Command>(
	state: ReplicaState<Command>,
	{cfg}: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: PollMessage},
): ReplicaStep<Command> {
	return createStep(state, cfg.storeId === undefined
		? []
		: [createSend(from, {
			type: 'replica/pollAnswer', round: message.round, storeId: cfg.storeId, lastIndex: getLastIndex(state.log),
		})]);
}

/** Counts a voter's answer to a poll. An answer from a data folder other than the voter's is ignored. */
export function handlePollAnswer<Command>(
	state: ReplicaState<Command>,
	{from, message}: {readonly from: NodeId; readonly message: PollAnswerMessage},
): ReplicaStep<Command> {
	const poll = state.confirmation.polls.find(({round}) => round === message.round);
	return poll === undefined || !hasVoter(state.voters, {node: from, storeId: message.storeId})
		? createStep(state)
		: countAnswer(state, poll, {from, lastIndex: message.lastIndex});
}

/** Handles a confirmation that this node's upstream got from a majority. */
export function handleConfirmed<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: ConfirmedMessage},
): ReplicaStep<Command> {
	const poll = state.confirmation.polls.find(({round}) => round === message.token);
	if (poll === undefined || state.role !== 'observer') {
		return createStep(state);
	}

	const updated = recordUpstreamContact({...state, leader: message.leader ?? state.leader}, context, from);
	return confirmPoll(updated, poll, message.index);
}
