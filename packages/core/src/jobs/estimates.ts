/**
 * What a job will take and how long it will wait, as learned from what was seen.
 */
import type {QueueId, TeamId} from '@samphiremill/common';
import {
	addSample, emptySketch, getQuantile, type QuantileSketch,
} from '../placement/index.js';
import {changeState} from './change-state.js';
import {
	shortestRunQuantile, resourceUseQuantile, minimumSampleCount, waitQuantile,
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

/**
 * @param state - The jobs before.
 * @param owner - The queue and the team.
 * @param runTimeMs - How long an answered job ran.
 * @returns The jobs after.
 */
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
 * @param state - The jobs before.
 * @param usages - What finished tasks used, as reported with a lag.
 * @returns The jobs after. Run times are learned from the answers, which have no lag.
 */
export function learnUsages(state: JobsState, usages: readonly TaskUsage[]): JobsState {
	let next = state;
	for (const usage of usages) {
		next = learnUsage(next, usage);
	}

	return next;
}

/**
 * @param state - The jobs.
 * @param spec - A job.
 * @returns The cores and megabytes that it takes: learned ones where enough was seen, else the
 * declared ones, else none besides its slot.
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

/**
 * @param size - What a job takes.
 * @param pool - The pool.
 * @returns Whether any worker of the pool is large enough when it is empty.
 */
export function canEverFit(size: {readonly cores: number; readonly memoryMb: number}, pool: PoolState): boolean {
	return pool.workerSizes.some(worker => size.cores <= worker.cores && size.memoryMb <= worker.memoryMb);
}

/**
 * @param pool - The pool.
 * @param size - What a job takes.
 * @returns The job's part of the pool's scarcest resource in slots, at least 1.
 */
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
 * @param state - The jobs.
 * @param spec - A job.
 * @returns The last moment, in milliseconds, at which the job can start and still be answered in
 * time, going by the shortest tenth of the runs seen.
 */
export function getLatestStartMs(state: JobsState, spec: JobSpec): number {
	const {runTimeMs} = getProfile(state, spec);
	return spec.deadlineAtMs - (getTrustedQuantile(runTimeMs, shortestRunQuantile) ?? 0);
}

function getExpectedSlots(state: JobsState, spec: JobSpec): number {
	const pool = getPool(state, spec.pool);
	const poolTeam = getPoolTeam(state, spec);
	const team = getTeam(state, spec.team);
	const totalWeight = pool.order.weightSum + (poolTeam.rank === undefined ? team.weight : 0);
	const fairShare = pool.heldSlots * team.weight / totalWeight;
	const bound = team.isLimited ? team.heldLimit : Number.POSITIVE_INFINITY;
	// Jobs on slots that were called back, or on lost minions, make no room for others.
	return Math.min(bound, Math.max(fairShare, Math.min(poolTeam.running, pool.heldSlots)));
}

/**
 * @param state - The jobs.
 * @param spec - A job that is to be queued.
 * @returns How long the job will wait in milliseconds, or `undefined` where nothing is known yet
 * or the node has no slots to reckon with.
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
