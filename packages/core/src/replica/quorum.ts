import type {NodeId} from '@samphiremill/common';
import type {ReplicaConfig, ReplicaState, VoterIdentity} from './types.js';

/** Returns how many voters are a majority. */
export function getQuorumSize(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/**
 * Returns the greatest value that a majority reaches, or -Infinity without voters.
 *
 * @param values - One value for each voter.
 */
export function getQuorumValue(values: readonly number[]): number {
	const descending = values.toSorted((left, right) => right - left);
	return descending[getQuorumSize(values.length) - 1] ?? Number.NEGATIVE_INFINITY;
}

/**
 * Returns whether the voter set lists a node with exactly this data folder.
 *
 * @param identity - The node and its current data folder.
 */
export function hasVoter(voters: readonly VoterIdentity[], identity: VoterIdentity): boolean {
	return voters.some(({node, storeId}) => node === identity.node && storeId === identity.storeId);
}

/** Returns whether this replica may vote and acknowledge entries. */
export function isVotingReplica<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): boolean {
	return cfg.storeId !== undefined
		&& hasVoter(state.voters, {node: cfg.self, storeId: cfg.storeId});
}

/** Returns the voters other than this node. */
export function getOtherVoters<Command>(state: ReplicaState<Command>, cfg: ReplicaConfig): NodeId[] {
	return state.voters.map(({node}) => node).filter(node => node !== cfg.self);
}
