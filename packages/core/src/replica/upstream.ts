import {rankMembers, type NodeId} from '@samphiremill/common';
import {isVotingReplica} from './quorum.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {ReplicaConfig, ReplicaState} from './types.js';

/**
 * Lists the nodes that may feed this node, best first: the voters of its data centre, then the other nodes of
 * its data centre that sort before it, then the voters elsewhere. The order within a data centre is total, so
 * nodes never feed each other in a cycle, and the first node there relays entries to the others.
 *
 * A voter that has a leader has no candidates. A voter without a leader may have been removed or may lag
 * behind, so any other voter is a candidate from which it can learn that.
 */
export function getUpstreamCandidates<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): readonly NodeId[] {
	const own = cfg.nodes.find(({node}) => node === cfg.self);
	const isVoting = isVotingReplica(state, cfg);
	if (own === undefined || (isVoting && state.leader !== undefined)) {
		return [];
	}

	const voters = state.voters.length > 0
		? state.voters.map(({node}) => node)
		: cfg.nodes.filter(({isInitialVoter}) => isInitialVoter).map(({node}) => node);
	const localNodes = cfg.nodes.filter(({dataCentre}) => dataCentre === own.dataCentre).map(({node}) => node).toSorted();
	if (isVoting) {
		return rankMembers(cfg.self, voters.filter(node => node !== cfg.self));
	}

	const isListedVoter = voters.includes(cfg.self);
	// A disqualified voter may be the upstream of other nodes here, so it follows only voters that sort
	// before it.
	const localVoters = localNodes.filter(node => voters.includes(node) && (!isListedVoter || node < cfg.self));
	const earlierLocalNodes = localNodes.filter(node => !voters.includes(node) && !isListedVoter && node < cfg.self);
	const remoteVoters = voters.filter(node => !localNodes.includes(node));
	return [...localVoters, ...earlierLocalNodes, ...rankMembers(own.dataCentre, remoteVoters)];
}

/** Returns the node that currently feeds this node. */
export function getUpstream<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): NodeId | undefined {
	const candidates = getUpstreamCandidates(state, cfg);
	return candidates[state.feed.upstreamRank % Math.max(1, candidates.length)];
}

/**
 * Records contact with a node that can feed this one. A node that ranks better than the current upstream
 * replaces it.
 *
 * @param from - The node that sent a message.
 */
export function recordUpstreamContact<Command>(
	state: ReplicaState<Command>,
	{cfg, nowMs}: ReplicaContext,
	from: NodeId,
): ReplicaState<Command> {
	const candidates = getUpstreamCandidates(state, cfg);
	const rank = candidates.indexOf(from);
	const current = state.feed.upstreamRank % Math.max(1, candidates.length);
	return rank === -1 || rank > current
		? state
		: {...state, feed: {...state.feed, upstreamRank: rank, upstreamLastHeardMs: nowMs}};
}

/**
 * Switches to the next candidate when the current upstream has been silent for too long, and probes better
 * candidates at intervals.
 */
export function tickUpstream<Command>(state: ReplicaState<Command>, {cfg, nowMs}: ReplicaContext): ReplicaStep<Command> {
	const candidates = getUpstreamCandidates(state, cfg);
	const {feed} = state;
	if (candidates.length === 0) {
		return createStep(state);
	}

	const isSilent = nowMs - feed.upstreamLastHeardMs > cfg.limits.upstreamTimeoutMs;
	const upstreamRank = (feed.upstreamRank + (isSilent ? 1 : 0)) % candidates.length;
	const isRetryDue = nowMs >= feed.upstreamRetryAtMs;
	const next = {
		...state,
		feed: {
			...feed,
			upstreamRank,
			upstreamLastHeardMs: isSilent ? nowMs : feed.upstreamLastHeardMs,
			upstreamRetryAtMs: isRetryDue ? nowMs + cfg.limits.upstreamRetryMs : feed.upstreamRetryAtMs,
		},
	};
	const betterCandidates = isRetryDue ? candidates.slice(0, upstreamRank) : [];
	return createStep(next, betterCandidates.map(to => createSend<Command>(to, {
		type: 'replica/pull', lastIndex: state.commitIndex,
	})));
}
