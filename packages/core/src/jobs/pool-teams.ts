/**
 * The teams of a pool: what they have waiting and running, and their order.
 */
import {Map as ImmutableMap, Set as ImmutableSet} from 'immutable';
import {
	toBrand, type MinionId, type PoolId, type TeamId,
} from '@samphiremill/common';
import {createSortedSet} from '../collections/sorted-set.js';
import {
	addTeam, createTeamOrder, removeTeam, type TeamRank,
} from '../shares/index.js';
import {changePool, changePoolTeam, changeState} from './change-state.js';
import {defaultTeamWeight} from './constants.js';
import {emptyJobQueue} from './job-queue.js';
import type {
	JobsState, PoolState, PoolTeam, TeamState,
} from './state.js';

function compareMinions(left: MinionId, right: MinionId): number {
	return left < right ? -1 : Number(left > right);
}

const emptyPool: PoolState = {
	ready: createSortedSet(compareMinions),
	order: createTeamOrder(),
	teams: ImmutableMap(),
	heldSlots: 0,
	cores: 0,
	memoryMb: 0,
	workerSizes: [],
	servedFloor: 0,
};

const emptyPoolTeam: PoolTeam = {
	urgent: emptyJobQueue,
	ordinary: emptyJobQueue,
	running: 0,
	dispatched: 0,
	usedSlots: 0,
	urgentUsedSlots: 0,
	runningElsewhere: 0,
	servedPerWeight: 0,
	runningByRack: ImmutableMap(),
	refusedCount: 0,
	isDemandChanged: false,
};

const emptyTeam: TeamState = {
	weight: defaultTeamWeight, isLimited: false, heldLimit: 0, running: 0, pools: ImmutableSet(),
};

/** The name under which an open queue's work is counted. */
export const openTeam = toBrand<TeamId>('open');

/** A pool and a team in it. */
export type PoolTeamKey = {
	readonly pool: PoolId;
	readonly team: TeamId;
};

/**
 * @param state - The jobs.
 * @param pool - The pool.
 * @returns The pool, empty where nothing is known of it.
 */
export function getPool(state: JobsState, pool: PoolId): PoolState {
	return state.pools.get(pool, emptyPool);
}

/**
 * @param state - The jobs.
 * @param place - The pool and the team.
 * @returns The team's work in the pool, empty where it has none.
 */
export function getPoolTeam(state: JobsState, {pool, team}: PoolTeamKey): PoolTeam {
	return getPool(state, pool).teams.get(team, emptyPoolTeam);
}

/**
 * @param state - The jobs.
 * @param team - The team.
 * @returns The team, of default weight and without a limit where no policy names it.
 */
export function getTeam(state: JobsState, team: TeamId): TeamState {
	return state.teams.get(team, emptyTeam);
}

/**
 * @param team - A team at this node.
 * @returns Whether one more of its jobs stays within what is held of its upper limit.
 */
export function canRunMore(team: TeamState): boolean {
	return !team.isLimited || team.running < team.heldLimit;
}

/**
 * @param poolTeam - A team's work in a pool.
 * @returns How many of its jobs wait there.
 */
export function getWaitingCount({urgent, ordinary}: PoolTeam): number {
	return urgent.entries.size + ordinary.entries.size;
}

function createRank(options: {
	readonly team: TeamId;
	readonly teamState: TeamState;
	readonly poolTeam: PoolTeam;
}): TeamRank | undefined {
	const {team, teamState, poolTeam} = options;
	if (getWaitingCount(poolTeam) === 0 || !canRunMore(teamState)) {
		return undefined;
	}

	return {
		team,
		weight: teamState.weight,
		usedPerWeight: (poolTeam.usedSlots + poolTeam.runningElsewhere) / teamState.weight,
		urgentUsedPerWeight: poolTeam.urgentUsedSlots / teamState.weight,
		servedPerWeight: poolTeam.servedPerWeight,
		hasUrgent: poolTeam.urgent.entries.size > 0,
	};
}

function isSameRank(left: TeamRank | undefined, right: TeamRank | undefined): boolean {
	return left === right || (right !== undefined
		&& left?.usedPerWeight === right.usedPerWeight
		&& left.urgentUsedPerWeight === right.urgentUsedPerWeight
		&& left.servedPerWeight === right.servedPerWeight
		&& left.weight === right.weight
		&& left.hasUrgent === right.hasUrgent);
}

function setRank(poolTeam: PoolTeam, rank: TeamRank | undefined): PoolTeam {
	return changePoolTeam(poolTeam, {rank, isDemandChanged: true});
}

function replaceRank(pool: PoolState, before: TeamRank | undefined, after: TeamRank | undefined): PoolState {
	const withoutRank = before === undefined ? pool.order : removeTeam(pool.order, before);
	return changePool(pool, {order: after === undefined ? withoutRank : addTeam(withoutRank, after)});
}

/** Lets a team that had nothing to do start level with the others, so that it saves up no claim. */
function raiseToServedFloor(pool: PoolState, poolTeam: PoolTeam): PoolTeam {
	const isIdle = poolTeam.running === 0 && poolTeam.rank === undefined;
	return isIdle && poolTeam.servedPerWeight < pool.servedFloor
		? changePoolTeam(poolTeam, {servedPerWeight: pool.servedFloor})
		: poolTeam;
}

/**
 * Changes a team's work in a pool and puts the team where it now belongs in the order.
 *
 * @param state - The jobs before.
 * @param poolTeamKey - The pool and the team.
 * @param change - Gives the new value; without it only the order is brought up to date.
 * @returns The jobs after.
 */
export function updatePoolTeam(
	state: JobsState,
	poolTeamKey: PoolTeamKey,
	change: (poolTeam: PoolTeam) => PoolTeam = poolTeam => poolTeam,
): JobsState {
	const pool = getPool(state, poolTeamKey.pool);
	const before = pool.teams.get(poolTeamKey.team, emptyPoolTeam);
	const changed = change(raiseToServedFloor(pool, before));
	const rank = createRank({team: poolTeamKey.team, teamState: getTeam(state, poolTeamKey.team), poolTeam: changed});
	const ordered = isSameRank(before.rank, rank) ? pool : replaceRank(pool, before.rank, rank);
	const poolTeam = setRank(changed, rank);
	const pools = state.pools.set(poolTeamKey.pool, changePool(ordered, {teams: ordered.teams.set(poolTeamKey.team, poolTeam)}));
	return changeState(state, {pools});
}

/**
 * Changes a team, and its place in each of its pools where the change matters there.
 *
 * @param state - The jobs before.
 * @param team - The team.
 * @param change - Gives the new value.
 * @returns The jobs after.
 */
export function updateTeam(state: JobsState, team: TeamId, change: (team: TeamState) => TeamState): JobsState {
	const before = getTeam(state, team);
	const after = change(before);
	if (after === before) {
		return state;
	}

	const changed = changeState(state, {teams: state.teams.set(team, after)});
	if (before.weight === after.weight && canRunMore(before) === canRunMore(after)) {
		return changed;
	}

	let next: JobsState = changed;
	for (const pool of after.pools) {
		next = updatePoolTeam(next, {pool, team});
	}

	return next;
}
