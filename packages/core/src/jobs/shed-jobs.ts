/**
 * Refuses waiting jobs that can no longer make it, as soon as that is known: capacity may have gone
 * since they were let in, or their run times may have turned out longer.
 */
import type {PoolId, TeamId} from '@samphiremill/common';
import {
	defaultRetryAfterMs, maximumShedJobs, sheddingFactor,
} from './constants.js';
import {estimateWaitMs, getLatestStartMs} from './estimates.js';
import {getBackJob} from './job-queue.js';
import {refuseJob} from './job-table.js';
import {getPoolTeam, getWaitingCount} from './pool-teams.js';
import type {
	Context, JobsState, JobsStep, JobState,
} from './state.js';
import type {JobsEffect} from './types.js';

function findLastJob(state: JobsState, pool: PoolId, team: TeamId): JobState | undefined {
	const {urgent, ordinary} = getPoolTeam(state, {pool, team});
	const id = getBackJob(ordinary) ?? getBackJob(urgent);
	return id === undefined ? undefined : state.jobs.get(id);
}

/** A wait that is only a little too long may come out right; far too long ones will not. */
function getExcessiveWaitMs(state: JobsState, {spec}: JobState, nowMs: number): number | undefined {
	const waitMs = estimateWaitMs(state, spec);
	const isExcessive = waitMs !== undefined && waitMs > (getLatestStartMs(state, spec) - nowMs) * sheddingFactor;
	return isExcessive ? waitMs : undefined;
}

function shedTeamJobs(state: JobsState, options: {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly context: Context;
}): JobsStep {
	const {pool, team, context} = options;
	const effects: JobsEffect[] = [];
	let current = state;
	for (let count = 0; count < maximumShedJobs; count += 1) {
		const job = findLastJob(current, pool, team);
		const waitMs = job && getExcessiveWaitMs(current, job, context.nowMs);
		if (job === undefined || waitMs === undefined) {
			break;
		}

		const step = refuseJob(current, {
			job, reason: 'deadlineTooNear', retryAfterMs: Math.max(defaultRetryAfterMs, waitMs),
		});
		current = step.state;
		effects.push(...step.effects);
	}

	return {state: current, effects};
}

/**
 * Refuses jobs from the backs of the queues, as many as cannot be started in time by far.
 *
 * @param state - The jobs before.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function shedLateJobs(state: JobsState, context: Context): JobsStep {
	const effects: JobsEffect[] = [];
	let current = state;
	for (const [pool, {teams}] of state.pools) {
		for (const [team, poolTeam] of teams) {
			if (getWaitingCount(poolTeam) > 0) {
				const step = shedTeamJobs(current, {pool, team, context});
				current = step.state;
				effects.push(...step.effects);
			}
		}
	}

	return {state: current, effects};
}
