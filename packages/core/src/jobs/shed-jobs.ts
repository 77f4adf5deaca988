/**
 * Load shedding: refuses waiting jobs as soon as it is clear that they miss their deadlines. This
 * happens when capacity is lost after they were admitted, or when run times turn out longer.
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

/**
 * Returns the estimated wait in milliseconds if it is far too long, else `undefined`. A wait that is
 * only slightly too long may still be met.
 */
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

/** Sheds jobs from the backs of the queues while their estimated wait is far too long. */
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
