/**
 * Changes of what bounds the decisions: records, minions, slots and limits.
 */
import type {MinionId, PoolId, TeamId} from '@samphiremill/common';
import {changePoolTeam, changeState} from './change-state.js';
import {releaseAttempt} from './attempts.js';
import {defaultTeamWeight} from './constants.js';
import {runSteps} from './job-table.js';
import {
	addMinion, listReservations, listWorkerSizes, removeMinion,
} from './minions.js';
import {placeWaitingJobs} from './place-jobs.js';
import {
	getPool, getTeam, updatePoolTeam, updateTeam,
} from './pool-teams.js';
import type {
	Context, JobsState, JobsStep, MinionState,
} from './state.js';
import type {
	JobsPolicy, PlaceableMinion, RunningElsewhere,
} from './types.js';

function placeInPools(state: JobsState, pools: Iterable<PoolId>, context: Context): JobsStep {
	return runSteps(state, [...pools].map(pool => (before: JobsState) => placeWaitingJobs(before, pool, context)));
}

/**
 * Brings the teams' weights and limits up to date.
 *
 * @param state - The jobs before.
 * @param policy - The committed records. A team that they do not name gets the default weight.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function applyPolicy(state: JobsState, policy: JobsPolicy, context: Context): JobsStep {
	const named = new Map(policy.teams.map(team => [team.team, team]));
	const teams = new Set<TeamId>([...state.teams.keys(), ...named.keys()]);
	let changed = state;
	for (const team of teams) {
		const {weight, isLimited} = named.get(team) ?? {weight: defaultTeamWeight, isLimited: false};
		changed = updateTeam(changed, team, before => ({...before, weight, isLimited}));
	}

	return placeInPools(changed, changed.pools.keys(), context);
}

/**
 * @param state - The jobs before.
 * @param options - A limited team, and how many of its jobs this node may run.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function applyLimitHeld(
	state: JobsState,
	{team, amount}: {readonly team: TeamId; readonly amount: number},
	context: Context,
): JobsStep {
	const changed = updateTeam(state, team, before => ({...before, heldLimit: amount}));
	return placeInPools(changed, getTeam(changed, team).pools, context);
}

function isSameMinion(before: MinionState | undefined, info: PlaceableMinion): boolean {
	const known = before?.info;
	return known?.incarnation === info.incarnation
		&& known.worker === info.worker
		&& known.pool === info.pool
		&& known.rack === info.rack
		&& known.cores === info.cores
		&& known.memoryMb === info.memoryMb
		&& known.heldSlots === info.heldSlots
		&& known.connections === info.connections
		&& known.isAcceptingWork === info.isAcceptingWork;
}

function updateWorkerSizes(state: JobsState, pools: Iterable<PoolId>): JobsState {
	let next = state;
	for (const pool of pools) {
		const sizes = listWorkerSizes(next, pool);
		next = changeState(next, {pools: next.pools.set(pool, {...getPool(next, pool), workerSizes: sizes})});
	}

	return next;
}

/**
 * Brings the minions up to date with the whole list of them.
 *
 * @param state - The jobs before.
 * @param minions - All minions that are known. Word of an older incarnation is passed over.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function applyMinions(
	state: JobsState,
	minions: readonly PlaceableMinion[],
	context: Context,
): JobsStep {
	const listed = new Set<MinionId>(minions.map(({minion}) => minion));
	const removedMinions = [...state.minions.values()].filter(({info}) => !listed.has(info.minion));
	const changedMinions = minions.filter(info => {
		const before = state.minions.get(info.minion);
		return !isSameMinion(before, info) && (before?.info.incarnation ?? 0) <= info.incarnation;
	});
	const affectedPools = new Set<PoolId>([
		...removedMinions.map(({info}) => info.pool),
		...changedMinions.flatMap(info => [info.pool, state.minions.get(info.minion)?.info.pool ?? info.pool]),
	]);
	// A new incarnation has nothing left of the old one's tasks.
	const replaced = changedMinions
		.map(info => state.minions.get(info.minion)?.info)
		.filter(info => info !== undefined)
		.filter(info => changedMinions.some(({minion, incarnation}) => minion === info.minion && incarnation > info.incarnation));
	let known = state;
	for (const minion of removedMinions) {
		known = removeMinion(known, minion);
	}

	for (const info of changedMinions) {
		known = addMinion(known, info);
	}

	return runSteps(updateWorkerSizes(known, affectedPools), [
		...replaced.map(info => (before: JobsState) => endLease(before, info, context)),
		before => placeInPools(before, affectedPools, context),
	]);
}

/**
 * @param state - The jobs before.
 * @param options - A minion's incarnation, and how many of its slots this node may use.
 * @param context - The time, bounds and chance.
 * @returns The step; none for another incarnation than the known one.
 */
export function applySlotsHeld(
	state: JobsState,
	options: {readonly minion: MinionId; readonly incarnation: number; readonly amount: number},
	context: Context,
): JobsStep {
	const info = state.minions.get(options.minion)?.info;
	if (info?.incarnation !== options.incarnation || info.heldSlots === options.amount) {
		return {state, effects: []};
	}

	const changed = addMinion(state, {...info, heldSlots: options.amount});
	return placeWaitingJobs(changed, info.pool, context);
}

/**
 * Frees all that an incarnation of a minion held, since the leases of its tasks have run out. Its
 * jobs are not ended by it: the shell says how their attempts failed.
 *
 * @param state - The jobs before.
 * @param options - The minion and its incarnation.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function endLease(
	state: JobsState,
	options: {readonly minion: MinionId; readonly incarnation: number},
	context: Context,
): JobsStep {
	const ended = listReservations(state, options)
		.filter(({isDispatched}) => isDispatched);
	return runSteps(state, ended.map(jobAttempt => (before: JobsState) => releaseAttempt(before, jobAttempt, context)));
}

/**
 * @param state - The jobs before.
 * @param running - What teams have running at the other entry hosts of the data centre.
 * @returns The jobs after.
 */
export function applyRunningElsewhere(state: JobsState, running: readonly RunningElsewhere[]): JobsState {
	let next = state;
	for (const {pool, team, running: runningElsewhere} of running) {
		next = updatePoolTeam(next, {pool, team}, poolTeam => changePoolTeam(poolTeam, {runningElsewhere}));
	}

	return next;
}
