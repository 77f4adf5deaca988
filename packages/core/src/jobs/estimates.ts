/**
 * Estimates of the size and the waiting time of a job, learned from earlier runs.
 */
import type {QueueId, TeamId} from '@samphiremill/common';
import {
	addSample, emptySketch, getQuantile, type QuantileSketch,
} from '../placement/index.js';
import {changeState} from './change-state.js';
import {
	dispatchQuantile, shortestRunQuantile, resourceUseQuantile, minimumSampleCount, unknownRunShare, waitQuantile,
} from './constants.js';
import {getPool, getPoolTeam, getTeam} from './pool-teams.js';
import type {JobsState, PoolState, RunProfile} from './state.js';
import type {JobSpec, TaskUsage} from './types.js';

const emptyProfile: RunProfile = {runTimeMs: emptySketch, cores: emptySketch, memoryMb: emptySketch};

type ProfileOwner = {
	readonly queue: QueueId;
	readonly team: TeamId;
};

function getProfileKey({queue, team}: ProfileOwner): string {
	return `${queue}/${team}`;
}

function getProfile(state: JobsState, owner: ProfileOwner): RunProfile {
	return state.runProfiles.get(getProfileKey(owner), emptyProfile);
}

function getTrustedQuantile(sketch: QuantileSketch, quantile: number): number | undefined {
	return sketch.total < minimumSampleCount ? undefined : getQuantile(sketch, quantile);
}

/** Adds the run time of an answered job in milliseconds to the profile of its queue and team. */
export function learnRunTime(state: JobsState, owner: ProfileOwner, runTimeMs: number): JobsState {
	const profile = getProfile(state, owner);
	const changed = {...profile, runTimeMs: addSample(profile.runTimeMs, runTimeMs)};
	return changeState(state, {runProfiles: state.runProfiles.set(getProfileKey(owner), changed)});
}

function learnUsage(state: JobsState, usage: TaskUsage): JobsState {
	const profile = getProfile(state, usage);
	const changed = {
		...profile,
		cores: addSample(profile.cores, usage.cores),
		memoryMb: addSample(profile.memoryMb, usage.memoryMb),
	};
	return changeState(state, {runProfiles: state.runProfiles.set(getProfileKey(usage), changed)});
}

/**
 * Adds the reported resource use of finished tasks to their profiles. Run times are learned from the
 * answers instead, since these arrive without delay.
 */
export function learnUsages(state: JobsState, usages: readonly TaskUsage[]): JobsState {
	let next = state;
	for (const usage of usages) {
		next = learnUsage(next, usage);
	}

	return next;
}

/**
 * Returns the cores and megabytes that a job takes: learned values if there are enough samples, else
 * the declared ones, else 0, so that the job takes only its slot.
 */
export function estimateSize(
	state: JobsState,
	spec: JobSpec,
): {readonly cores: number; readonly memoryMb: number} {
	const {cores, memoryMb} = getProfile(state, spec);
	return {
		cores: getTrustedQuantile(cores, resourceUseQuantile) ?? spec.declared?.cores ?? 0,
		memoryMb: getTrustedQuantile(memoryMb, resourceUseQuantile) ?? spec.declared?.memoryMb ?? 0,
	};
}

/** Returns whether the pool has a worker that is large enough for a job when it is empty. */
export function canEverFit(size: {readonly cores: number; readonly memoryMb: number}, pool: PoolState): boolean {
	return pool.workerSizes.some(worker => size.cores <= worker.cores && size.memoryMb <= worker.memoryMb);
}

/** Returns a job's use of the pool's scarcest resource in slots, at least 1. */
export function getShareSlots(
	pool: PoolState,
	size: {readonly cores: number; readonly memoryMb: number},
): number {
	const dominantShare = Math.max(
		pool.cores > 0 ? size.cores / pool.cores : 0,
		pool.memoryMb > 0 ? size.memoryMb / pool.memoryMb : 0,
	);
	return Math.max(1, dominantShare * pool.heldSlots);
}

/**
 * Returns the latest time in milliseconds at which the job can start and still be answered before its
 * deadline. It assumes the run time that the shortest tenth of the observed runs stayed below.
 */
export function getLatestStartMs(state: JobsState, spec: JobSpec): number {
	const {runTimeMs} = getProfile(state, spec);
	return spec.deadlineAtMs - (getTrustedQuantile(runTimeMs, shortestRunQuantile) ?? 0);
}

/**
 * Returns the latest time in milliseconds at which a job whose start was recorded may be dispatched. After a dispatch
 * the job may have run, while before it another send can still run it. While too few run times are known, the record may take
 * half of the time that was left when the job was placed.
 *
 * @param placedAtMs - When the job was placed.
 */
export function getLatestDispatchMs(state: JobsState, spec: JobSpec, placedAtMs: number): number {
	const {runTimeMs} = getProfile(state, spec);
	const reservedMs = getTrustedQuantile(runTimeMs, dispatchQuantile) ?? (spec.deadlineAtMs - placedAtMs) * unknownRunShare;
	return spec.deadlineAtMs - reservedMs;
}

function getExpectedSlots(state: JobsState, spec: JobSpec): number {
	const pool = getPool(state, spec.pool);
	const poolTeam = getPoolTeam(state, spec);
	const team = getTeam(state, spec.team);
	const totalWeight = pool.order.weightSum + (poolTeam.rank === undefined ? team.weight : 0);
	const fairShare = pool.heldSlots * team.weight / totalWeight;
	const bound = team.isLimited ? team.heldLimit : Number.POSITIVE_INFINITY;
	// Jobs on revoked slots or on lost minions do not free capacity for other jobs.
	return Math.min(bound, Math.max(fairShare, Math.min(poolTeam.running, pool.heldSlots)));
}

/**
 * Returns how long a job would wait in its queue in milliseconds, or `undefined` if too few run times
 * were observed or the node has no slots.
 */
export function estimateWaitMs(state: JobsState, spec: JobSpec): number | undefined {
	const runTimeMs = getTrustedQuantile(getProfile(state, spec).runTimeMs, waitQuantile);
	const slots = getExpectedSlots(state, spec);
	if (runTimeMs === undefined || slots <= 0) {
		return undefined;
	}

	const {urgent, ordinary} = getPoolTeam(state, spec);
	const ahead = urgent.entries.size + (spec.urgency === 'urgent' ? 0 : ordinary.entries.size);
	return ahead * runTimeMs / slots;
}
