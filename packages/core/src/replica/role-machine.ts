import {setup, transition} from 'xstate';
import type {ReplicaRole} from './types.js';

/** What can change a replica's role. */
export type RoleEvent
	= | {readonly type: 'becameVoter'}
		| {readonly type: 'ceasedToVote'}
		| {readonly type: 'electionTimedOut'}
		| {readonly type: 'preVoteWon'}
		| {readonly type: 'transferReceived'}
		| {readonly type: 'voteWon'}
		| {readonly type: 'newerTermSeen'}
		| {readonly type: 'leaderHeard'}
		| {readonly type: 'quorumLost'};

// XState takes the events' type from a value that it never reads.
const createTypes = (): {events: RoleEvent} => ({events: {type: 'becameVoter'}});

const roleMachine = setup({
	types: createTypes(),
}).createMachine({
	id: 'replicaRole',
	initial: 'observer',
	states: {
		observer: {on: {becameVoter: 'follower'}},
		follower: {
			on: {
				electionTimedOut: 'preCandidate',
				transferReceived: 'candidate',
				ceasedToVote: 'observer',
			},
		},
		preCandidate: {
			on: {
				preVoteWon: 'candidate',
				transferReceived: 'candidate',
				newerTermSeen: 'follower',
				leaderHeard: 'follower',
				ceasedToVote: 'observer',
			},
		},
		candidate: {
			on: {
				voteWon: 'leader',
				electionTimedOut: 'preCandidate',
				newerTermSeen: 'follower',
				leaderHeard: 'follower',
				ceasedToVote: 'observer',
			},
		},
		leader: {
			on: {
				newerTermSeen: 'follower',
				quorumLost: 'follower',
				ceasedToVote: 'observer',
			},
		},
	},
});

/**
 * Moves a role on. Called at changes of role only, never for each message.
 *
 * @param role - The role so far.
 * @param event - What happened.
 * @returns The next role, which is the same one where the event does not apply.
 */
export function getNextRole(role: ReplicaRole, event: RoleEvent): ReplicaRole {
	const [next] = transition(roleMachine, roleMachine.resolveState({value: role}), event);
	return next.value;
}
