import {setup, transition} from 'xstate';
import type {ReplicaRole} from './types.js';

/** The events that can change a replica's role. */
export type RoleEvent
	= | {readonly type: 'becameVoter'}
		| {readonly type: 'ceasedToVote'}
		| {readonly type: 'electionTimedOut'}
		| {readonly type: 'preVoteWon'}
		| {readonly type: 'transferReceived'}
		| {readonly type: 'voteWon'}
		| {readonly type: 'newerTermSeen'}
		| {readonly type: 'leaderHeard'}
		| {readonly type: 'quorumLost'}
		| {readonly type: 'gaveWay'};

// XState infers the event type from this value and never reads the value itself.
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
				gaveWay: 'follower',
				ceasedToVote: 'observer',
			},
		},
	},
});

/**
 * Returns the role after an event, or the same role if the event does not apply to it. It is called only when
 * the role may change, not for each message.
 */
export function getNextRole(role: ReplicaRole, event: RoleEvent): ReplicaRole {
	const [next] = transition(roleMachine, roleMachine.resolveState({value: role}), event);
	return next.value;
}
