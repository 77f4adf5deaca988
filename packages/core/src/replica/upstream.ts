import {rankMembers, type NodeId} from '@samphiremill/common';
import {isVotingReplica} from './quorum.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {ReplicaConfig, ReplicaState} from './types.js';

/**
 * Lists whom a node may be fed by, best first: the voters of its data centre, then the other nodes
 * of its data centre that come before it, then the voters elsewhere. The order within a data centre
 * is total, so nodes never feed each other in a circle, and the first node there is its relay.
 *
 * @param state - The replica.
 * @param cfg - Its set-up.
 * @returns The candidates; none for a voter that hears a leader. One that does not may have been
 * removed, or may lag behind; it learns that from any other voter.
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
	// A voter that lost its vote may feed the others here, so it follows only voters before it.
	const localVoters = localNodes.filter(node => voters.includes(node) && (!isListedVoter || node < cfg.self));
	const earlierLocalNodes = localNodes.filter(node => !voters.includes(node) && !isListedVoter && node < cfg.self);
	const remoteVoters = voters.filter(node => !localNodes.includes(node));
	return [...localVoters, ...earlierLocalNodes, ...rankMembers(own.dataCentre, remoteVoters)];
}

/**
 * @param state - The replica.
 * @param cfg - Its set-up.
 * @returns Who feeds this node at this moment.
 */
export function getUpstream<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): NodeId | undefined {
	const candidates = getUpstreamCandidates(state, cfg);
	return candidates[state.feed.upstreamRank % Math.max(1, candidates.length)];
}

/**
 * Notes that a feeding node was heard. One that ranks better than the present one takes over.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param from - Who was heard.
 * @returns The state.
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
 * Moves on to the next candidate when the present one has been silent, and knocks at better ones
 * from time to time.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
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
			upstreamHeardMs: isSilent ? nowMs : feed.upstreamLastHeardMs,
			upstreamRetryAtMs: isRetryDue ? nowMs + cfg.limits.upstreamRetryMs : feed.upstreamRetryAtMs,
		},
	};
	const betterCandidates = isRetryDue ? candidates.slice(0, upstreamRank) : [];
	return createStep(next, betterCandidates.map(to => createSend<Command>(to, {
		type: 'replica/pull', lastIndex: state.commitIndex,
	})));
}
