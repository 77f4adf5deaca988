/**
 * Applies changes of the limits that decisions depend on: records, minions, slots and limits.
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
 * Applies the weights and limits of the committed team records. A team that they do not name gets the
 * default weight and no limit.
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

/** Applies the number of jobs of a limited team that this node may run. */
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

/** Applies the complete list of known minions. Entries with an older incarnation are ignored. */
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
	// No task of the previous incarnation survives on a new one.
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
 * Applies the number of slots of a minion that this node may use. An amount for another incarnation
 * than the known one is ignored.
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
 * Releases everything that this node's dispatched attempts hold on an incarnation of a minion, since
 * the leases of its tasks have expired. Its jobs do not end here: the shell reports how their attempts
 * failed.
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

/** Applies the numbers of jobs that run on the other entry hosts of the data centre. */
export function applyRunningElsewhere(state: JobsState, running: readonly RunningElsewhere[]): JobsState {
	let next = state;
	for (const {pool, team, running: runningElsewhere} of running) {
		next = updatePoolTeam(next, {pool, team}, poolTeam => changePoolTeam(poolTeam, {runningElsewhere}));
	}

	return next;
}
