import {persistState} from './persistence.js';
import {isVotingReplica} from './quorum.js';
import {createStep, type ReplicaContext, type ReplicaStep} from './replica-step.js';
import {getNextRole, type RoleEvent} from './role-machine.js';
import type {ReplicaRole, ReplicaState} from './types.js';

/**
 * @param context - The set-up and the time.
 * @returns When the next election is due, in monotonic milliseconds.
 */
export function getElectionDeadline({cfg, nowMs}: ReplicaContext): number {
	return nowMs + (cfg.limits.electionTimeoutMs * (1 + cfg.random()));
}

/**
 * Moves the role on and drops what only a leader or candidate keeps.
 *
 * @param state - The state.
 * @param event - What happened to the role.
 * @returns The state in its next role.
 */
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
 * Enters a newer term as a follower, or as an observer where this node does not vote.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param term - The term seen.
 * @returns The state, with the term on its way to the disk.
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
 * Lets the role follow the voter set. A leader that is no longer a voter goes on until the set is
 * committed.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The state in a role that it may have.
 */
export function reconcileRole<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaState<Command> {
	const isVoter = isVotingReplica(state, context.cfg);
	if (isVoter && state.role === 'observer') {
		return {...transitionRole(state, {type: 'becameVoter'}), electionDeadlineMs: getElectionDeadline(context)};
	}

	const isFinishingVoterChange = state.role === 'leader' && !state.persistence.hasFailed && state.votersIndex > state.commitIndex;
	return isVoter || isFinishingVoterChange ? state : transitionRole(state, {type: 'ceasedToVote'});
}
