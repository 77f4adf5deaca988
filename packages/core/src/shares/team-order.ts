/**
 * Order in which teams are served: the team with the least running work per weight goes first. Urgent
 * work goes ahead of it as long as its team's urgent work alone stays within the team's fair share;
 * the ordinary work of that team then waits longer. Every change takes logarithmic time in the number
 * of teams.
 */
import type {TeamId} from '@samphiremill/common';
import {
	createSortedSet, getFirstItem, insertItem, removeItem, type SortedSet,
} from '../collections/sorted-set.js';

/** Rank of a team in the order. */
export type TeamRank = {
	readonly team: TeamId;
	readonly weight: number;
	/** Slots that the running jobs of the team use, divided by its weight. */
	readonly usedPerWeight: number;
	/** Slots that the running urgent jobs of the team use, divided by its weight. */
	readonly urgentUsedPerWeight: number;
	/** Served slot-milliseconds, divided by the weight. Breaks ties. */
	readonly servedPerWeight: number;
	readonly hasUrgent: boolean;
};

/** Teams that have waiting jobs and may run them. */
export type TeamOrder = {
	readonly all: SortedSet<TeamRank>;
	readonly urgent: SortedSet<TeamRank>;
	/** Sum of the weights of all teams in the order. */
	readonly weightSum: number;
};

/** The next team to serve, and the reason. */
export type TeamPick = {
	readonly team: TeamId;
	readonly reason: 'urgentWithinDue' | 'leastShareUsed';
};

function compareRanks(left: TeamRank, right: TeamRank): number {
	return left.usedPerWeight - right.usedPerWeight
		|| left.servedPerWeight - right.servedPerWeight
		|| (left.team < right.team ? -1 : Number(left.team > right.team));
}

function compareUrgentRanks(left: TeamRank, right: TeamRank): number {
	return left.urgentUsedPerWeight - right.urgentUsedPerWeight || compareRanks(left, right);
}

/** Creates an order without teams. */
export function createTeamOrder(): TeamOrder {
	return {all: createSortedSet(compareRanks), urgent: createSortedSet(compareUrgentRanks), weightSum: 0};
}

/** Removes a team. `rank` must equal the one that was added. */
export function removeTeam(order: TeamOrder, rank: TeamRank): TeamOrder {
	return {
		all: removeItem(order.all, rank),
		urgent: rank.hasUrgent ? removeItem(order.urgent, rank) : order.urgent,
		weightSum: order.weightSum - rank.weight,
	};
}

/** Adds a team that is not in the order yet. */
export function addTeam(order: TeamOrder, rank: TeamRank): TeamOrder {
	return {
		all: insertItem(order.all, rank),
		urgent: rank.hasUrgent ? insertItem(order.urgent, rank) : order.urgent,
		weightSum: order.weightSum + rank.weight,
	};
}

/**
 * Returns the team to serve next, or `undefined` if none waits.
 *
 * @param capacity - The number of slots that the teams share.
 */
export function pickTeam(order: TeamOrder, capacity: number): TeamPick | undefined {
	const urgent = getFirstItem(order.urgent);
	if (urgent !== undefined && urgent.urgentUsedPerWeight < capacity / order.weightSum) {
		return {team: urgent.team, reason: 'urgentWithinDue'};
	}

	const first = getFirstItem(order.all);
	return first === undefined ? undefined : {team: first.team, reason: 'leastShareUsed'};
}
