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

// Fractions of the election timeout. A pre-vote does not disrupt other nodes, so it is retried soon: the first
// one is often sent while the other voters still refuse because they heard from the lost leader recently. A
// candidate waits longer after a split vote.
const preVoteRetryFraction = 0.3;
const voteRetryFraction = 0.5;
// A voter answers once its disk has synced the vote. With a slow disk that takes longer than the first wait.
const maximumVoteBackoff = 16;

const getRetryDeadline = ({cfg, nowMs}: ReplicaContext, fraction: number) =>
	nowMs + (cfg.limits.electionTimeoutMs * fraction * (1 + cfg.random()));

const getVoteDeadline = (context: ReplicaContext, earlierCandidacies: number) =>
	getRetryDeadline(context, voteRetryFraction * Math.min(2 ** earlierCandidacies, maximumVoteBackoff));

/**
 * Counts the wait for votes, or for the candidate that this node has voted for, from when its own vote is synced: only
 * then it is sent.
 */
export function restartVoteWait<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaState<Command> {
	if (state.leader !== undefined || state.votedFor === undefined || state.persistence.pending.length > 0) {
		return state;
	}

	if (state.role === 'candidate') {
		return {...state, electionDeadlineMs: Math.max(state.electionDeadlineMs, getVoteDeadline(context, state.candidacies - 1))};
	}

	return state.role === 'follower'
		? {...state, electionDeadlineMs: Math.max(state.electionDeadlineMs, getElectionDeadline(context))}
		: state;
}

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
 * Starts an election in the next term and makes this node a candidate. The vote requests are sent once its own
 * vote is synced.
 *
 * @param isTransfer - Whether the old leader requested the election.
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
		electionDeadlineMs: getVoteDeadline(context, state.candidacies),
		candidacies: state.candidacies + 1,
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
 * Starts a pre-vote when the election timeout has passed without contact from a leader. A node with unsynced writes waits for
 * its disk: it could not vote for itself, and would raise its term again and again while the disk is full.
 */
export function tickElection<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	if (state.role === 'leader' || !isVotingReplica(state, context.cfg) || state.persistence.pending.length > 0) {
		return createStep(state);
	}

	// A sole voter has no other node to wait for.
	const isDue = context.nowMs >= state.electionDeadlineMs || state.voters.length === 1;
	return isDue ? startPreVote(state, context) : createStep(state);
}

const isLogUpToDate = <Command>(state: ReplicaState<Command>, req: RequestVoteMessage) => {
	const lastTerm = getLastTerm(state.log);
	return req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= getLastIndex(state.log));
};

// A voter that heard from a leader within the election timeout refuses to vote. The leader lease and the
// leader's answers to reads rely on this promise. A restarted voter waits just as long, because it no longer
// knows when it heard from a leader.
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
	const answer = createVote(state, context, {term, isPreVote: true, isGranted});
	// While this node's disk is full, its vote would not follow, and the other node would raise its term in vain.
	return isGranted
		? sendWhenPersisted(state, [{to: from, message: answer}])
		: createStep(state, [createSend(from, answer)]);
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
 * Answers a vote request of the same cluster. A node with a disk votes although its own log does not name it: the newest
 * set may do so in an entry that it has not received, and its vote may be needed for a majority. Whoever counts
 * the votes takes only those of its voters.
 */
export function handleRequestVote<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	received: {readonly from: NodeId; readonly message: RequestVoteMessage},
): ReplicaStep<Command> {
	const {message} = received;
	if (context.cfg.storeId === undefined || message.clusterId !== state.clusterId) {
		return createStep(state);
	}

	if (!message.isTransfer && hasRecentLeader(state, context)) {
		return createStep(state);
	}

	return message.isPreVote
		? answerPreVote(state, context, received)
		: chainSteps(enterTerm(state, context, message.term), next => answerVote(next, context, received));
}

/** Counts a vote. With a majority of votes, moves on to the next role. */
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
