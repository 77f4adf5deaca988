/**
 * Which team comes next: the one with the least running for its weight, urgent work ahead as long
 * as its team's urgent work alone stays within the due. The team's ordinary work then stands back. Every change costs the logarithm of the number of teams.
 */
import type {TeamId} from '@samphiremill/common';
import {
	createSortedSet, getFirstItem, insertItem, removeItem, type SortedSet,
} from '../collections/sorted-set.js';

/** A team's place in the order. */
export type TeamRank = {
	readonly team: TeamId;
	readonly weight: number;
	/** What the team has running, in slots, divided by its weight. */
	readonly usedPerWeight: number;
	/** What the team's urgent jobs alone have running, in slots, divided by its weight. */
	readonly urgentUsedPerWeight: number;
	/** Slot-milliseconds that the team was served, divided by its weight; decides between equals. */
	readonly servedPerWeight: number;
	readonly hasUrgent: boolean;
};

/** The teams that have work waiting and may run it. */
export type TeamOrder = {
	readonly all: SortedSet<TeamRank>;
	readonly urgent: SortedSet<TeamRank>;
	/** The sum of the weights of all teams in the order. */
	readonly weightSum: number;
};

/** The next team, and why it is next. */
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

/** @returns An order without teams. */
export function createTeamOrder(): TeamOrder {
	return {all: createSortedSet(compareRanks), urgent: createSortedSet(compareUrgentRanks), weightSum: 0};
}

/**
 * @param order - The order before.
 * @param rank - The team's place, as it was added.
 * @returns The order without the team.
 */
export function removeTeam(order: TeamOrder, rank: TeamRank): TeamOrder {
	return {
		all: removeItem(order.all, rank),
		urgent: rank.hasUrgent ? removeItem(order.urgent, rank) : order.urgent,
		weightSum: order.weightSum - rank.weight,
	};
}

/**
 * @param order - The order before, without the team.
 * @param rank - The team's place.
 * @returns The order with the team.
 */
export function addTeam(order: TeamOrder, rank: TeamRank): TeamOrder {
	return {
		all: insertItem(order.all, rank),
		urgent: rank.hasUrgent ? insertItem(order.urgent, rank) : order.urgent,
		weightSum: order.weightSum + rank.weight,
	};
}

/**
 * @param order - The teams with work waiting.
 * @param capacity - The slots that the teams share.
 * @returns The team to serve next, or `undefined` where none waits.
 */
export function pickTeam(order: TeamOrder, capacity: number): TeamPick | undefined {
	const urgent = getFirstItem(order.urgent);
	if (urgent !== undefined && urgent.urgentUsedPerWeight < capacity / order.weightSum) {
		return {team: urgent.team, reason: 'urgentWithinDue'};
	}

	const first = getFirstItem(order.all);
	return first === undefined ? undefined : {team: first.team, reason: 'leastShareUsed'};
}
