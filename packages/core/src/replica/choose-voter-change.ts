import type {NodeId} from '@samphiremill/common';
import {getQuorumSize} from './quorum.js';
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
	/** Whether the node has been gone, or its disk has hung, for so long that it is to be replaced. */
	readonly isAbsent: (node: NodeId) => boolean;
	/** Whether the host was too slow as a learner a moment ago. It is chosen only if no other host can take part. */
	readonly isDeferred: (node: NodeId) => boolean;
	/** When the host was last too slow as a learner, or a time that follows it; `undefined` if it never was. */
	readonly getFailedAtMs: (node: NodeId) => number | undefined;
};

const findCandidate = ({voters, hosts, isReachable, isAbsent}: VoterChangeInput) => hosts.find(({node}) =>
	isReachable(node) && !isAbsent(node) && voters.every(voter => voter.node !== node));

/**
 * Returns whether the leader is to give way because it counts as absent itself, as its disk hangs: the next leader then
 * replaces it by a host that is there. Without such a host nothing would be gained.
 */
export function isLeaderReplaceable(input: VoterChangeInput): boolean {
	const {self, voters, isReachable, isAbsent} = input;
	const presentCount = voters.filter(({node}) => isReachable(node) && !isAbsent(node)).length;
	return isAbsent(self) && presentCount >= getQuorumSize(voters.length) && findCandidate(input) !== undefined;
}

const chooseAmongHosts = (input: VoterChangeInput): VoterChange | undefined => {
	const {self, voters, hosts, wantedVoters, isReachable, isAbsent} = input;
	const rejoined = hosts.find(({node, storeId}) => isReachable(node) && voters.some(voter => voter.node === node && voter.storeId !== storeId));
	if (rejoined !== undefined) {
		return {type: 'add', voter: rejoined};
	}

	const absent = voters.find(({node}) => node !== self && isAbsent(node));
	const candidate = findCandidate(input);
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
};

/**
 * Chooses the next change of the set of voters, in this order: a voter whose data folder was replaced is
 * replaced by its new store id; an absent voter is replaced by a host that is there; a host is added while there are
 * too few voters; a surplus voter is removed, an absent one first. Without a host to take its place, an absent
 * voter stays: its removal would not lower the number of hosts that must be up.
 *
 * A host that was too slow gives others their turn, and of several the one that failed longest ago goes first; without others it
 * is tried again at once, since the next loss may be one too many.
 *
 * @returns `undefined` if no change is needed.
 */
export function chooseVoterChange(input: VoterChangeInput): VoterChange | undefined {
	const getFailedAtMs = ({node}: VoterIdentity) => input.getFailedAtMs(node) ?? Number.NEGATIVE_INFINITY;
	const hosts = input.hosts.toSorted((left, right) => getFailedAtMs(left) < getFailedAtMs(right) ? -1 : Number(getFailedAtMs(left) > getFailedAtMs(right)));
	return chooseAmongHosts({...input, hosts: hosts.filter(({node}) => !input.isDeferred(node))}) ?? chooseAmongHosts({...input, hosts});
}
