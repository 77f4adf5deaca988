import {persistState} from './persistence.js';
import {isVotingReplica} from './quorum.js';
import {createStep, type ReplicaContext, type ReplicaStep} from './replica-step.js';
import {getNextRole, type RoleEvent} from './role-machine.js';
import type {ReplicaRole, ReplicaState} from './types.js';

/** Returns when the next election is due, in monotonic milliseconds. */
export function getElectionDeadline({cfg, nowMs}: ReplicaContext): number {
	return nowMs + (cfg.limits.electionTimeoutMs * (1 + cfg.random()));
}

/** Applies an event to the role and removes the state that only a leader or candidate keeps. */
export function transitionRole<Command>(state: ReplicaState<Command>, event: RoleEvent): ReplicaState<Command> {
	const role: ReplicaRole = getNextRole(state.role, event);
	if (role === state.role) {
		return state;
	}

	return {
		...state,
		role,
		leadership: role === 'leader' ? state.leadership : undefined,
		leader: state.role === 'leader' ? undefined : state.leader,
		votes: [],
	};
}

/**
 * Ends the lead of this node without a successor. The others time out before this node does, so that one of them leads
 * if it can.
 *
 * @param state - A leader.
 */
export function stepDown<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaState<Command> {
	return {
		...transitionRole(state, {type: 'gaveWay'}),
		electionDeadlineMs: getElectionDeadline(context) + context.cfg.limits.electionTimeoutMs,
	};
}

/**
 * Enters a newer term as a follower, or as an observer if this node does not vote. The term is written to disk.
 * A term that is not newer changes nothing.
 */
export function enterTerm<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	term: number,
): ReplicaStep<Command> {
	if (term <= state.term) {
		return createStep(state);
	}

	return persistState({
		...transitionRole(state, {type: 'newerTermSeen'}),
		term,
		votedFor: undefined,
		leader: undefined,
		electionDeadlineMs: getElectionDeadline(context),
	}, context, {});
}

/**
 * Adapts the role to the voter set. A leader that is no longer a voter continues until the new set is
 * committed.
 */
export function reconcileRole<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaState<Command> {
	const isVoter = isVotingReplica(state, context.cfg);
	if (isVoter && state.role === 'observer') {
		return {...transitionRole(state, {type: 'becameVoter'}), electionDeadlineMs: getElectionDeadline(context)};
	}

	const isFinishingVoterChange = state.role === 'leader' && state.votersIndex > state.commitIndex;
	return isVoter || isFinishingVoterChange ? state : transitionRole(state, {type: 'ceasedToVote'});
}
