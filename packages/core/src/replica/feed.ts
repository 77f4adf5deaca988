import type {NodeId} from '@samphiremill/common';
import {commitUpTo} from './commit.js';
import {addConfirmationRequest} from './confirmation.js';
import {subscriptionTimeoutMs} from './constants.js';
import {acceptEntries} from './following.js';
import {getBytesBetween, getEntries, getLastMessageIndex} from './log.js';
import type {FeedMessage, PullMessage} from './messages.js';
import {isVotingReplica} from './quorum.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {enterTerm} from './roles.js';
import type {FeedSubscriber, ReplicaConfig, ReplicaState} from './types.js';
import {getUpstream, recordUpstreamContact} from './upstream.js';

// Sends one batch. A subscriber that lacks further entries pulls them.
const feedSubscriber = <Command>(
	state: ReplicaState<Command>,
	{cfg, nowMs}: ReplicaContext,
	{to, previousIndex}: {readonly to: NodeId; readonly previousIndex: number},
): ReplicaStep<Command> => {
	const {log, commitIndex, clusterId, leader, snapshot} = state;
	if (clusterId === undefined) {
		return createStep(state);
	}

	if (previousIndex < log.baseIndex) {
		return createStep(state, snapshot === undefined
			? []
			: [createSend(to, {type: 'replica/snapshotOffer', index: snapshot.index, length: snapshot.data.length})]);
	}

	const lastIndex = getLastMessageIndex(log, cfg.limits, {previousIndex, lastIndex: commitIndex});
	const entries = getEntries(log, {from: previousIndex + 1, until: lastIndex + 1});
	const sentIndex = previousIndex + entries.length;
	const {pulledIndex, renewedAtMs} = state.feed.subscribers.get(to) ?? {pulledIndex: previousIndex, renewedAtMs: nowMs};
	const subscribers = state.feed.subscribers.set(to, {sentIndex, pulledIndex, renewedAtMs});
	return createStep({...state, feed: {...state.feed, subscribers}}, [createSend(to, {
		type: 'replica/feed', previousIndex, entries, commitIndex, clusterId, leader,
	})]);
};

// A disqualified voter is listed in the voter set but must not vote, because its disk failed or its data folder
// is not the listed one. It depends on an upstream itself. Nodes that would subscribe to it should ask the next
// voter instead, because each hop shortens their configuration lease.
const isDisqualifiedVoter = <Command>(state: ReplicaState<Command>, cfg: ReplicaConfig) =>
	state.voters.some(({node}) => node === cfg.self) && !isVotingReplica(state, cfg);

/**
 * Handles an observer's pull: renews its subscription and sends the entries it lacks. A pull without a token is
 * answered even if it lacks none, so that it serves as a probe of this node. A disqualified voter ignores pulls.
 */
export function handlePull<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: PullMessage},
): ReplicaStep<Command> {
	const {token, lastIndex} = message;
	if (isDisqualifiedVoter(state, context.cfg)) {
		return createStep(state);
	}

	const subscribers = state.feed.subscribers.set(from, {sentIndex: lastIndex, pulledIndex: lastIndex, renewedAtMs: context.nowMs});
	const subscribed = {...state, feed: {...state.feed, subscribers}};
	const next = token === undefined ? subscribed : addConfirmationRequest(subscribed, from, {token, receivedAtMs: context.nowMs});
	return token === undefined || lastIndex < state.commitIndex
		? feedSubscriber(next, context, {to: from, previousIndex: lastIndex})
		: createStep(next);
}

// A subscriber that has not confirmed what was pushed may be slow, and what is pushed on would fill the send buffer. Its next pull, at the
// latest the one by which it renews its subscription, brings it the rest.
const mayPush = <Command>({log, commitIndex}: ReplicaState<Command>, {limits}: ReplicaConfig, {sentIndex, pulledIndex}: FeedSubscriber) => {
	const lastIndex = getLastMessageIndex(log, limits, {previousIndex: sentIndex, lastIndex: commitIndex});
	return sentIndex === pulledIndex || getBytesBetween(log, {after: pulledIndex, upTo: lastIndex}) <= limits.maximumPushedBytes;
};

/** Sends newly committed entries to all subscribers that lack them, as far as they keep up. */
export function pushFeed<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const subscribersBehind = [...state.feed.subscribers]
		.filter(([, subscriber]) => subscriber.sentIndex < state.commitIndex && mayPush(state, context.cfg, subscriber));
	return chainSteps(
		createStep(state),
		...subscribersBehind.map(([to, {sentIndex}]) => (next: ReplicaState<Command>) =>
			feedSubscriber(next, context, {to, previousIndex: sentIndex})),
	);
}

/** Removes the subscribers whose subscription has expired. */
export function tickSubscribers<Command>(state: ReplicaState<Command>, {nowMs}: ReplicaContext): ReplicaStep<Command> {
	const subscribers = state.feed.subscribers.filter(({renewedAtMs}) => nowMs - renewedAtMs <= subscriptionTimeoutMs);
	return createStep(subscribers.size === state.feed.subscribers.size
		? state
		: {...state, feed: {...state.feed, subscribers}});
}

const pullMore = <Command>(state: ReplicaState<Command>, from: NodeId, knownCommitIndex: number): ReplicaStep<Command> =>
	createStep(state, state.commitIndex < knownCommitIndex
		? [createSend(from, {type: 'replica/pull', lastIndex: state.commitIndex})]
		: []);

const acceptFeed = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: FeedMessage<Command>},
): ReplicaStep<Command> => {
	// A voter learns the leader only from the leader's own messages, because its votes depend on it.
	const leader = state.role === 'observer' ? message.leader ?? state.leader : state.leader;
	const updated = recordUpstreamContact({...state, clusterId: message.clusterId, leader}, context, from);
	if (getUpstream(updated, context.cfg) !== from) {
		return createStep(updated);
	}

	if (message.previousIndex > updated.commitIndex) {
		return pullMore(updated, from, message.commitIndex);
	}

	return chainSteps(
		acceptEntries(updated, context, message.entries),
		next => commitUpTo(next, message.previousIndex + message.entries.length),
		next => pullMore(next, from, message.commitIndex),
	);
};

/**
 * Handles committed entries from this node's upstream. It answers a gap with a pull and ignores messages of
 * another cluster.
 */
export function handleFeed<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: FeedMessage<Command>},
): ReplicaStep<Command> {
	const isFromOtherCluster = state.clusterId !== undefined && state.clusterId !== message.clusterId;
	const hasLeader = state.role !== 'observer' && state.leader !== undefined;
	if (isFromOtherCluster || hasLeader) {
		return createStep(state);
	}

	return chainSteps(
		enterTerm(state, context, message.entries.at(-1)?.term ?? 0),
		next => acceptFeed(next, context, {from, message}),
	);
}
