import type {NodeId} from '@samphiremill/common';
import type {ControlHostRecord, VoterChange, VoterIdentity} from '@samphiremill/core';

/** Input of the choice of a voter change. */
export type VoterChangeInput = {
	/** The leader, which makes the choice. */
	readonly self: NodeId;
	readonly voters: readonly VoterIdentity[];
	/** Control hosts that joined, each with the store id of its newest data folder. */
	readonly hosts: readonly ControlHostRecord[];
	readonly wantedVoters: number;
	readonly isReachable: (node: NodeId) => boolean;
	/** Whether the node has been unreachable for so long that it is to be replaced. */
	readonly isAbsent: (node: NodeId) => boolean;
};

/**
 * Chooses the next change of the set of voters, in this order: a voter whose data folder was replaced is
 * added under its new store id; a host is added while there are too few present voters; an absent voter is
 * removed once there are enough present ones; a surplus voter is removed.
 *
 * @returns `undefined` if no change is needed.
 */
export function chooseVoterChange({self, voters, hosts, wantedVoters, isReachable, isAbsent}: VoterChangeInput): VoterChange | undefined {
	const reachable = hosts.filter(({node}) => isReachable(node));
	const rejoined = reachable.find(({node, storeId}) => voters.some(voter => voter.node === node && voter.storeId !== storeId));
	if (rejoined !== undefined) {
		return {type: 'add', voter: rejoined};
	}

	const absent = voters.filter(({node}) => isAbsent(node));
	const present = voters.length - absent.length;
	const candidate = reachable.find(({node}) => voters.every(voter => voter.node !== node));
	if (candidate !== undefined && present < wantedVoters) {
		return {type: 'add', voter: candidate};
	}

	const [absentVoter] = absent;
	if (absentVoter !== undefined && present >= wantedVoters) {
		return {type: 'remove', node: absentVoter.node};
	}

	const surplus = voters.find(({node}) => node !== self);
	return surplus !== undefined && voters.length > wantedVoters && absent.length === 0
		? {type: 'remove', node: surplus.node}
		: undefined;
}
