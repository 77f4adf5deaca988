import type {NodeId} from '@samphiremill/common';
import type {ReplicaConfig, ReplicaState, VoterIdentity} from './types.js';

/**
 * @param voterCount - How many voters there are.
 * @returns How many of them are a majority.
 */
export function getQuorumSize(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/**
 * @param values - One value for each voter.
 * @returns The greatest value that a majority reaches, or -Infinity without voters.
 */
export function getQuorumValue(values: readonly number[]): number {
	const descending = values.toSorted((left, right) => right - left);
	return descending[getQuorumSize(values.length) - 1] ?? Number.NEGATIVE_INFINITY;
}

/**
 * @param voters - A voter set.
 * @param identity - A node with the data folder it speaks for.
 * @returns Whether exactly this life of the node votes.
 */
export function hasVoter(voters: readonly VoterIdentity[], identity: VoterIdentity): boolean {
	return voters.some(({node, storeId}) => node === identity.node && storeId === identity.storeId);
}

/**
 * @param state - The replica.
 * @param cfg - Its set-up.
 * @returns Whether it may vote and acknowledge entries.
 */
export function isVotingReplica<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): boolean {
	return cfg.storeId !== undefined
		&& !state.persistence.hasFailed
		&& hasVoter(state.voters, {node: cfg.self, storeId: cfg.storeId});
}

/**
 * @param state - The replica.
 * @param cfg - Its set-up.
 * @returns The voters besides this node.
 */
export function getOtherVoters<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): NodeId[] {
	return state.voters.map(({node}) => node).filter(node => node !== cfg.self);
}
