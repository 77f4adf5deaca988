import type {NodeId} from '@samphiremill/common';
import type {VoterChange, VoterIdentity} from './types.js';

/** Input of the choice of a voter change. */
export type VoterChangeInput = {
	/** The leader, which makes the choice. */
	readonly self: NodeId;
	readonly voters: readonly VoterIdentity[];
	/** Hosts that may vote, each with the store id of its newest data folder, the preferred ones first. */
	readonly hosts: readonly VoterIdentity[];
	readonly wantedVoters: number;
	readonly isReachable: (node: NodeId) => boolean;
	/** Whether the node has been gone for so long that it is to be replaced. */
	readonly isAbsent: (node: NodeId) => boolean;
};

/**
 * Chooses the next change of the set of voters, in this order: a voter whose data folder was replaced is
 * replaced by its new store id; an absent voter is replaced by a host that is there; a host is added while there are
 * too few voters; a surplus voter is removed, an absent one first. Without a host to take its place, an absent
 * voter stays: its removal would not lower the number of hosts that must be up.
 *
 * @returns `undefined` if no change is needed.
 */
export function chooseVoterChange({self, voters, hosts, wantedVoters, isReachable, isAbsent}: VoterChangeInput): VoterChange | undefined {
	const reachable = hosts.filter(({node}) => isReachable(node));
	const rejoined = reachable.find(({node, storeId}) => voters.some(voter => voter.node === node && voter.storeId !== storeId));
	if (rejoined !== undefined) {
		return {type: 'add', voter: rejoined};
	}

	const absent = voters.find(({node}) => isAbsent(node));
	const candidate = reachable.find(({node}) => !isAbsent(node) && voters.every(voter => voter.node !== node));
	if (candidate !== undefined && voters.length <= wantedVoters) {
		if (absent !== undefined) {
			return {type: 'add', voter: candidate, replaces: absent.node};
		}

		if (voters.length < wantedVoters) {
			return {type: 'add', voter: candidate};
		}
	}

	const surplus = absent ?? voters.find(({node}) => node !== self);
	return surplus !== undefined && voters.length > wantedVoters ? {type: 'remove', node: surplus.node} : undefined;
}
