/**
 * The configuration lease. In quiet times a leader's heartbeats confirm its commit index to the other
 * voters. Without a leader a voter asks a majority for the ends of their logs: whatever was committed
 * before it asked is in at least one of the answers, so once everything up to them is applied, its
 * configuration was the newest when it asked. Every other node asks the node that feeds it.
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

/** How far this node's configuration can be relied on. */
export type ConfigurationFreshness = 'fresh' | 'stale' | 'starting';

/**
 * @param state - The replica.
 * @param options - The time in monotonic milliseconds and the length of the lease.
 * @returns `fresh` while the lease holds, `starting` before the first confirmation since the start.
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
 * Notes that a fed node wants a confirmation. The next poll, which is sent after this, answers it.
 *
 * @param state - The state.
 * @param from - The node.
 * @param request - What it calls its request, and when that came.
 * @returns The state.
 */
export function addConfirmationRequest<Command>(state: ReplicaState<Command>, from: NodeId, request: ConfirmationRequest): ReplicaState<Command> {
	const {confirmation} = state;
	const requests = [...confirmation.waitingRequests.get(from) ?? [], request].slice(-maximumWaitingRequestsPerNode);
	return {...state, confirmation: {...confirmation, waitingRequests: confirmation.waitingRequests.set(from, requests)}};
}

// Requests that came later than the confirmed time wait for the next confirmation. An older one is
// answered all the same, or a node that asks often would never get an answer.
const getNewestTokens = ({waitingRequests: waitingAskers}: ConfirmationState, untilMs: number): ImmutableMap<NodeId, number> => {
	const newest = waitingAskers.map(requests => requests.findLast(({receivedAtMs: askedAtMs}) => askedAtMs <= untilMs)?.token);
	return ImmutableMap([...newest].flatMap(([node, token]) => token === undefined ? [] : [[node, token] as const]));
};

/**
 * Makes those polls effective whose index is applied by now, for this node and for those that asked
 * it. A node confirms to others only what it can also feed to them.
 *
 * @param state - The state.
 * @returns The next step.
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
	const answers = completed.flatMap(({requesterTokens: askers, index}) => [...askers].map(([to, token]) => createSend<Command>(to, {
		type: 'replica/confirmed', token, index: index ?? 0, leader,
	})));
	return createStep({...state, confirmation: {...confirmation, polls, confirmedAtMs}}, answers);
}

// A later answer can let the poll do with less of the log.
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
 * Takes a confirmation that came without a poll, for this node and for all that asked it before.
 *
 * @param state - The state.
 * @param confirmed - Nothing beyond the index was committed at this time, in monotonic milliseconds.
 * @returns The next step.
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
				.map(requests => requests.filter(({receivedAtMs: askedAtMs}) => askedAtMs > sentAtMs))
				.filter(requests => requests.length > 0),
		},
	});
}

/**
 * Takes the confirmation that comes with a leader's heartbeat.
 *
 * @param state - A voter or learner.
 * @param message - The heartbeat.
 * @returns The next step. What an earlier life of this process sent counts for nothing.
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
 * Renews the lease when that is due, for this node and all that asked it.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function tickConfirmation<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {nextPollMs, lastPollMs, waitingRequests: waitingAskers, confirmedAtMs = Number.NEGATIVE_INFINITY} = state.confirmation;
	const {cfg, nowMs} = context;
	// While a leader's heartbeats confirm, a voter needs no poll.
	const isVoter = isVotingReplica(state, cfg);
	const isConfirmedByLeader = state.voters.length > 1
		&& isVoter
		&& nowMs - confirmedAtMs < cfg.limits.heartbeatConfirmationMaximumAgeMs;
	if (isConfirmedByLeader) {
		return createStep(state);
	}

	const spacingMs = isVoter ? cfg.limits.minimumPollIntervalMs : cfg.limits.minimumPullIntervalMs;
	const isRequested = !waitingAskers.isEmpty() && nowMs >= lastPollMs + spacingMs;
	return isRequested || nowMs >= nextPollMs ? startPoll(state, context) : createStep(state);
}

/**
 * Tells how far this node's log goes. Entries that aren't synced yet count as well, which can only
 * make the asker wait.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The poll and its sender.
 * @returns The next step; nothing on a node without a disk.
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

/**
 * Counts a voter's answer to a poll.
 *
 * @param state - The state.
 * @param received - The answer and its sender.
 * @returns The next step. Another data folder than the voter's counts for nothing.
 */
export function handlePollAnswer<Command>(
	state: ReplicaState<Command>,
	{from, message}: {readonly from: NodeId; readonly message: PollAnswerMessage},
): ReplicaStep<Command> {
	const poll = state.confirmation.polls.find(({round}) => round === message.round);
	return poll === undefined || !hasVoter(state.voters, {node: from, storeId: message.storeId})
		? createStep(state)
		: countAnswer(state, poll, {from, lastIndex: message.lastIndex});
}

/**
 * Takes the confirmation that the node which feeds this one got from a majority.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The confirmation and its sender.
 * @returns The next step.
 */
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
