import type {NodeId} from '@samphiremill/common';
import type {ControlHostRecord, VoterChange, VoterIdentity} from '@samphiremill/core';

/** What the choice of a voter change rests on. */
export type VoterChangeInput = {
	/** The leader. */
	readonly self: NodeId;
	readonly voters: readonly VoterIdentity[];
	/** Control hosts that asked to take part, each under its newest data folder. */
	readonly hosts: readonly ControlHostRecord[];
	readonly wantedVoters: number;
	readonly isReachable: (node: NodeId) => boolean;
	/** Out of reach for so long that it is replaced. */
	readonly isAbsent: (node: NodeId) => boolean;
};

/**
 * Chooses the next change of the set of voters. A voter whose folder was emptied joins anew first;
 * then the set is filled up; then a voter that is gone makes way once another took its place.
 *
 * @param input - The voters, the hosts and who is reachable.
 * @returns The change, or nothing to do.
 */
export function chooseVoterChange({self, voters, hosts, wantedVoters, isReachable, isAbsent}: VoterChangeInput): VoterChange | undefined {
	const reachable = hosts.filter(({node}) => isReachable(node));
	const emptied = reachable.find(({node, storeId}) => voters.some(voter => voter.node === node && voter.storeId !== storeId));
	if (emptied !== undefined) {
		return {type: 'add', voter: emptied};
	}

	const absent = voters.filter(({node}) => isAbsent(node));
	const present = voters.length - absent.length;
	const candidate = reachable.find(({node}) => voters.every(voter => voter.node !== node));
	if (candidate !== undefined && present < wantedVoters) {
		return {type: 'add', voter: candidate};
	}

	const [gone] = absent;
	if (gone !== undefined && present >= wantedVoters) {
		return {type: 'remove', node: gone.node};
	}

	const surplus = voters.find(({node}) => node !== self);
	return surplus !== undefined && voters.length > wantedVoters && absent.length === 0
		? {type: 'remove', node: surplus.node}
		: undefined;
}
