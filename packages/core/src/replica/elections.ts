import type {NodeId} from '@samphiremill/common';
import {getLastIndex, getLastTerm} from './log.js';
import type {RequestVoteMessage, VoteMessage} from './messages.js';
import {persistState, sendWhenPersisted} from './persistence.js';
import {
	getOtherVoters, getQuorumSize, hasVoter, isVotingReplica,
} from './quorum.js';
import {startLeadership} from './replication.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {enterTerm, getElectionDeadline, transitionRole} from './roles.js';
import type {ReplicaState} from './types.js';

// Shares of the election timeout. A pre-vote disturbs nobody, so it is repeated soon: the first one
// often comes while the others are still bound to the lost leader. A split vote waits longer.
const preVoteRetryFraction = 0.3;
const voteRetryFraction = 0.5;

const getRetryDeadline = ({cfg, nowMs}: ReplicaContext, fraction: number) =>
	nowMs + (cfg.limits.electionTimeoutMs * fraction * (1 + cfg.random()));

const createRequest = <Command>(
	state: ReplicaState<Command>,
	options: {readonly term: number; readonly isPreVote: boolean; readonly isTransfer: boolean},
): RequestVoteMessage | undefined => state.clusterId === undefined
	? undefined
	: {
		type: 'replica/requestVote',
		clusterId: state.clusterId,
		lastIndex: getLastIndex(state.log),
		lastTerm: getLastTerm(state.log),
		...options,
	};

const hasMajority = <Command>(state: ReplicaState<Command>) => state.votes.length >= getQuorumSize(state.voters.length);

const startPreVote = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> => {
	const message = createRequest(state, {term: state.term + 1, isPreVote: true, isTransfer: false});
	if (message === undefined) {
		return createStep(state);
	}

	const next: ReplicaState<Command> = {
		...transitionRole(state, {type: 'electionTimedOut'}),
		votes: [context.cfg.self],
		leader: undefined,
		electionDeadlineMs: getRetryDeadline(context, preVoteRetryFraction),
	};
	return hasMajority(next)
		? startElection(next, context, false)
		: createStep(next, getOtherVoters(next, context.cfg).map(to => createSend(to, message)));
};

const startLeadershipIfElected = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> =>
	hasMajority(state) ? startLeadership(transitionRole(state, {type: 'voteWon'}), context) : createStep(state);

/**
 * Starts an election in the next term. The requests leave once the own vote is synced.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param isTransfer - Whether the old leader asked for it.
 * @returns The state of a candidate.
 */
export function startElection<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	isTransfer: boolean,
): ReplicaStep<Command> {
	const {self} = context.cfg;
	const candidate: ReplicaState<Command> = {
		...transitionRole(state, {type: isTransfer ? 'transferReceived' : 'preVoteWon'}),
		term: state.term + 1,
		votedFor: self,
		votes: [self],
		leader: undefined,
		electionDeadlineMs: getRetryDeadline(context, voteRetryFraction),
	};
	const message = createRequest(candidate, {term: candidate.term, isPreVote: false, isTransfer});
	const messages = message === undefined ? [] : getOtherVoters(candidate, context.cfg).map(to => ({to, message}));
	return chainSteps(
		persistState(candidate, context, {}),
		next => sendWhenPersisted(next, messages),
		next => startLeadershipIfElected(next, context),
	);
}

/**
 * Starts a pre-vote when the leader has been silent for too long.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function tickElection<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	if (state.role === 'leader' || !isVotingReplica(state, context.cfg)) {
		return createStep(state);
	}

	// A sole voter has nobody to wait for.
	const isDue = context.nowMs >= state.electionDeadlineMs || state.voters.length === 1;
	return isDue ? startPreVote(state, context) : createStep(state);
}

const isLogUpToDate = <Command>(state: ReplicaState<Command>, req: RequestVoteMessage) => {
	const lastTerm = getLastTerm(state.log);
	return req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= getLastIndex(state.log));
};

// A voter that heard from a leader lately has promised it not to vote, which is what its lease and
// its read answers stand on. A restarted voter waits as long, since it forgot when it heard.
const hasRecentLeader = <Command>(state: ReplicaState<Command>, {cfg, nowMs}: ReplicaContext) =>
	state.role === 'leader' || nowMs - state.leaderLastHeardMs < cfg.limits.electionTimeoutMs;

const createVote = <Command>(
	state: ReplicaState<Command>,
	{cfg}: ReplicaContext,
	answer: {readonly term: number; readonly isPreVote: boolean; readonly isGranted: boolean},
): VoteMessage => ({type: 'replica/vote', storeId: cfg.storeId ?? state.clusterId!, ...answer});

const answerPreVote = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: RequestVoteMessage},
): ReplicaStep<Command> => {
	const isGranted = message.term > state.term && isLogUpToDate(state, message);
	const term = isGranted ? message.term : state.term;
	return createStep(state, [createSend(from, createVote(state, context, {term, isPreVote: true, isGranted}))]);
};

const answerVote = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: RequestVoteMessage},
): ReplicaStep<Command> => {
	const isGranted = message.term === state.term
		&& (state.votedFor === undefined || state.votedFor === from)
		&& state.role !== 'leader'
		&& isLogUpToDate(state, message);
	const answer = {to: from, message: createVote(state, context, {term: state.term, isPreVote: false, isGranted})};
	if (!isGranted) {
		return sendWhenPersisted(state, [answer]);
	}

	const voted = {...state, votedFor: from, electionDeadlineMs: getElectionDeadline(context)};
	return chainSteps(
		state.votedFor === from ? createStep(voted) : persistState(voted, context, {}),
		next => sendWhenPersisted(next, [answer]),
	);
};

/**
 * Answers a request for a vote.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The request and its sender.
 * @returns The next step. Nodes that don't vote, and other clusters, get no answer.
 */
export function handleRequestVote<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	received: {readonly from: NodeId; readonly message: RequestVoteMessage},
): ReplicaStep<Command> {
	const {message} = received;
	if (!isVotingReplica(state, context.cfg) || message.clusterId !== state.clusterId) {
		return createStep(state);
	}

	if (!message.isTransfer && hasRecentLeader(state, context)) {
		return createStep(state);
	}

	return message.isPreVote
		? answerPreVote(state, context, received)
		: chainSteps(enterTerm(state, context, message.term), next => answerVote(next, context, received));
}

/**
 * Counts a vote.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The vote and its sender.
 * @returns The next step; with a majority, the next role.
 */
export function handleVote<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: VoteMessage},
): ReplicaStep<Command> {
	if (!message.isGranted) {
		return enterTerm(state, context, message.term);
	}

	const expectedTerm = message.isPreVote ? state.term + 1 : state.term;
	const expectedRole = message.isPreVote ? 'preCandidate' : 'candidate';
	const isCounted = state.role === expectedRole
		&& message.term === expectedTerm
		&& hasVoter(state.voters, {node: from, storeId: message.storeId})
		&& !state.votes.includes(from);
	if (!isCounted) {
		return createStep(state);
	}

	const next = {...state, votes: [...state.votes, from]};
	if (!message.isPreVote) {
		return startLeadershipIfElected(next, context);
	}

	return hasMajority(next) ? startElection(next, context, false) : createStep(next);
}
