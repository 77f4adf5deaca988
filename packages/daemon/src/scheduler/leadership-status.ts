/**
 * What a control host knows of the leadership: whether a leader acts, since when none does, and what stands in the way
 * on this host. It tells a lost quorum, a host without a vote, a disk that takes no writes, and a leader without duties
 * apart.
 */
import type {NodeId} from '@samphiremill/common';
import {getQuorumSize, type ReplicaRole, type ReplicaState} from '@samphiremill/core';
import {leaderSilenceMs, leadershipStallMs} from './constants.js';

/** Why no leader acts, as far as one control host can tell. */
export type LeadershipObstacle
	/** Writes to the data folder have not been synced for `leadershipStallMs`. */
	= | 'diskWritesPending'
	/** This host is not a voter with its present data folder. */
		| 'notVoter'
	/** Fewer voters than a majority are linked to this host. */
		| 'tooFewVoters'
	/** A majority of voters is linked, and none of them leads or has won an election. */
		| 'noElectionWon'
	/** This host leads the log, and its first entry of the term is not applied. */
		| 'dutiesNotBegun'
	/** This host leads the log, and entries have waited for their commit for `leadershipStallMs`. */
		| 'nothingCommitted'
	/** This host leads the log, and the other voters confirm that too late. */
		| 'noLeaderLease';

/** One voter, as this host sees it. */
export type VoterStatus = {
	readonly node: NodeId;
	readonly isLinked: boolean;
	/** Time since its last answer to this leader, in milliseconds. */
	readonly answerAgeMs?: number;
	/** Number of entries that it has not acknowledged to this leader as synced. */
	readonly unsyncedEntries?: number;
};

/** The leadership as seen by one control host. */
export type LeadershipStatus = {
	readonly role: ReplicaRole;
	readonly term: number;
	readonly leader: NodeId | undefined;
	readonly isVoter: boolean;
	/** Time for which no leader has acted, in milliseconds; 0 while one does. */
	readonly withoutLeaderMs: number;
	/** `undefined` while a leader acts. */
	readonly obstacle: LeadershipObstacle | undefined;
	readonly voters: readonly VoterStatus[];
};

/** What is observed at one time. */
export type LeadershipObservation = {
	readonly self: NodeId;
	readonly replica: Pick<ReplicaState<unknown>, 'role' | 'term' | 'leader' | 'leaderLastHeardMs' | 'commitIndex' | 'voters' | 'persistence' | 'leadership'>;
	/** Index of the last entry of the log, committed or not. */
	readonly lastIndex: number;
	readonly isVoter: boolean;
	/** Whether this host leads and its duties have begun. */
	readonly hasDuties: boolean;
	/** Whether this host is certain to lead. */
	readonly hasLeaderLease: boolean;
	/** Whether a majority of voters has confirmed the commit index of this host recently. */
	readonly isConfirmed: boolean;
	readonly linkedPeers: readonly NodeId[];
	/** Monotonic time in milliseconds. */
	readonly nowMs: number;
};

/** What is remembered between two observations. Times are monotonic, in milliseconds. */
export type LeadershipWatch = {
	/** When a leader was last seen to act. */
	readonly ledAtMs: number;
	readonly commitIndex: number;
	/** When the commit index last rose or nothing waited for a commit. */
	readonly committedAtMs: number;
};

/** Starts to watch at a monotonic time in milliseconds. */
export function createLeadershipWatch(nowMs: number): LeadershipWatch {
	return {
		ledAtMs: nowMs, commitIndex: 0, committedAtMs: nowMs,
	};
}

const updateWatch = (watch: LeadershipWatch, {replica, lastIndex, nowMs}: LeadershipObservation): LeadershipWatch => {
	const isCommitting = replica.commitIndex > watch.commitIndex || replica.commitIndex >= lastIndex;
	return {
		...watch,
		commitIndex: replica.commitIndex,
		committedAtMs: isCommitting ? nowMs : watch.committedAtMs,
	};
};

const findLeaderObstacle = (watch: LeadershipWatch, {hasDuties, hasLeaderLease, nowMs}: LeadershipObservation): LeadershipObstacle | undefined => {
	if (nowMs - watch.committedAtMs >= leadershipStallMs) {
		return 'nothingCommitted';
	}

	if (!hasDuties) {
		return 'dutiesNotBegun';
	}

	return hasLeaderLease ? undefined : 'noLeaderLease';
};

// The leader sends heartbeats to voters only. A host without a vote knows of a leader through others.
const isLed = ({replica, isVoter, isConfirmed, nowMs}: LeadershipObservation) => replica.leader !== undefined
	&& (isVoter ? nowMs - replica.leaderLastHeardMs < leaderSilenceMs : isConfirmed);

const findObstacle = (watch: LeadershipWatch, observation: LeadershipObservation): LeadershipObstacle | undefined => {
	const {self, replica, isVoter, linkedPeers, nowMs} = observation;
	if (replica.role === 'leader') {
		return findLeaderObstacle(watch, observation);
	}

	if (isLed(observation)) {
		return undefined;
	}

	if (!isVoter) {
		return 'notVoter';
	}

	const [oldestWrite] = replica.persistence.pending;
	if (oldestWrite !== undefined && nowMs - oldestWrite.sinceMs >= leadershipStallMs) {
		return 'diskWritesPending';
	}

	const linkedCount = replica.voters.filter(({node}) => node === self || linkedPeers.includes(node)).length;
	return linkedCount < getQuorumSize(replica.voters.length) ? 'tooFewVoters' : 'noElectionWon';
};

const listVoters = ({self, replica, lastIndex, linkedPeers, nowMs}: LeadershipObservation): readonly VoterStatus[] => replica.voters.map(({node}) => {
	const progress = replica.leadership?.progress.get(node);
	return {
		node,
		isLinked: node === self || linkedPeers.includes(node),
		...(progress !== undefined && progress.lastAckMs > 0 && {answerAgeMs: Math.round(nowMs - progress.lastAckMs)}),
		...(progress !== undefined && {unsyncedEntries: lastIndex - progress.matchIndex}),
	};
});

/** Takes in an observation. Returns the status and what is remembered for the next one. */
export function observeLeadership(watch: LeadershipWatch, observation: LeadershipObservation): {readonly watch: LeadershipWatch; readonly status: LeadershipStatus} {
	const {replica: {role, term, leader}, isVoter, nowMs} = observation;
	const updated = updateWatch(watch, observation);
	const obstacle = findObstacle(updated, observation);
	const next = obstacle === undefined ? {...updated, ledAtMs: nowMs} : updated;
	return {
		watch: next,
		status: {
			role, term, leader, isVoter, obstacle, withoutLeaderMs: nowMs - next.ledAtMs, voters: listVoters(observation),
		},
	};
}
