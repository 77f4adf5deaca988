/**
 * The way of a job from its submission into a queue.
 */
import {assertNever} from '@samphiremill/common';
import {changePoolTeam} from './change-state.js';
import {defaultRetryAfterMs} from './constants.js';
import {
	canEverFit, estimateSize, estimateWaitMs, getLatestStartMs,
} from './estimates.js';
import {appendJob, prependJob} from './job-queue.js';
import {
	finishJob, putJob, refuseJob, refuseSpec, runSteps,
} from './job-table.js';
import {getRanBeforeClaim} from './outcome.js';
import {placeWaitingJobs} from './place-jobs.js';
import {
	getPool, getPoolTeam, getWaitingCount, updatePoolTeam, updateTeam,
} from './pool-teams.js';
import type {
	Context, JobHistory, JobsState, JobsStep, JobState,
} from './state.js';
import type {ClaimAnswer, JobSpec, RefusalReason} from './types.js';

type Rejection = {
	readonly reason: RefusalReason;
	readonly retryAfterMs?: number;
};

function findRejection(state: JobsState, spec: JobSpec, {nowMs, cfg}: Context): Rejection | undefined {
	const pool = getPool(state, spec.pool);
	if (pool.workerSizes.length === 0) {
		return {reason: 'noMinion', retryAfterMs: defaultRetryAfterMs};
	}

	if (!canEverFit(estimateSize(state, spec), pool)) {
		return {reason: 'fitsNowhere'};
	}

	const waitMs = estimateWaitMs(state, spec);
	if (getWaitingCount(getPoolTeam(state, spec)) >= cfg.maximumWaitingJobs) {
		return {reason: 'queueFull', retryAfterMs: waitMs ?? defaultRetryAfterMs};
	}

	const latestStartMs = getLatestStartMs(state, spec);
	if (nowMs + (waitMs ?? 0) > latestStartMs) {
		// Once the queue has gone down by what is missing, a job with as much time would make it.
		return {reason: 'deadlineTooNear', retryAfterMs: Math.max(defaultRetryAfterMs, nowMs + (waitMs ?? 0) - latestStartMs)};
	}

	return undefined;
}

/**
 * Puts a job into its team's queue.
 *
 * @param state - The jobs before.
 * @param history - The job and what is known of its attempts.
 * @param options - Whether it goes to the front, since it has waited before.
 * @returns The jobs after.
 */
export function enqueueJob(
	state: JobsState,
	history: Omit<JobHistory, 'timerAtMs' | 'dueAtMs'>,
	options: {readonly isAtFront: boolean},
): JobsState {
	const {spec, attempt, mayHaveRun, failedWorkers} = history;
	const {pool, team, urgency, job} = spec;
	const inTeam = updateTeam(state, team, before => (
		before.pools.has(pool) ? before : {...before, pools: before.pools.add(pool)}
	));
	const add = options.isAtFront ? prependJob : appendJob;
	const {queue, ticket} = add(getPoolTeam(inTeam, {pool, team})[urgency], job);
	const queued = updatePoolTeam(inTeam, {pool, team}, poolTeam => changePoolTeam(poolTeam, {[urgency]: queue}));
	return putJob(queued, {
		type: 'queued', spec, attempt, mayHaveRun, failedWorkers, ticket, dueAtMs: getLatestStartMs(state, spec),
	});
}

function admitJob(state: JobsState, spec: JobSpec, context: Context): JobsStep {
	const rejection = findRejection(state, spec, context);
	if (rejection !== undefined) {
		return refuseSpec(state, {...rejection, spec, ran: 'no'});
	}

	const history = {
		spec, attempt: 0, mayHaveRun: false, failedWorkers: [],
	};
	const queued = enqueueJob(state, history, {isAtFront: false});
	return placeWaitingJobs(queued, spec.pool, context);
}

/**
 * Takes a new job in. A job with an idempotency key first asks the key's owner, so that a refusal
 * of it can say truthfully that nothing ran.
 *
 * @param state - The jobs before.
 * @param spec - The job.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function submitJob(state: JobsState, spec: JobSpec, context: Context): JobsStep {
	if (state.jobs.has(spec.job)) {
		return {state, effects: []};
	}

	if (state.isStopping) {
		return refuseSpec(state, {
			spec, reason: 'stopping', ran: getRanBeforeClaim(spec), retryAfterMs: defaultRetryAfterMs,
		});
	}

	if (spec.idempotencyKey === undefined) {
		return admitJob(state, spec, context);
	}

	const dueAtMs = Math.min(spec.deadlineAtMs, context.nowMs + context.cfg.claimTimeoutMs);
	const claiming = putJob(state, {
		type: 'claiming', spec, attempt: 0, mayHaveRun: false, failedWorkers: [], dueAtMs,
	});
	return {state: claiming, effects: [{type: 'jobs/claim', spec}]};
}

/**
 * Goes on with a job as the owner of its idempotency key says.
 *
 * @param state - The jobs before.
 * @param options - The job and the answer.
 * @param context - The time, bounds and chance.
 * @returns The step; none for a job that does not wait for an answer.
 */
export function applyClaimAnswer(
	state: JobsState,
	options: {readonly job: JobState | undefined; readonly answer: ClaimAnswer},
	context: Context,
): JobsStep {
	const {job, answer} = options;
	if (job?.type !== 'claiming') {
		return {state, effects: []};
	}

	switch (answer.type) {
		case 'granted': {
			return admitJob(state, job.spec, context);
		}

		case 'replay': {
			return finishJob(state, job.spec, answer.outcome);
		}

		case 'conflict': {
			return refuseSpec(state, {spec: job.spec, reason: 'keyConflict', ran: 'no'});
		}

		case 'inProgress': {
			return refuseJob(state, {job, reason: 'keyInProgress', retryAfterMs: defaultRetryAfterMs});
		}

		case 'unknown': {
			return refuseJob(state, {job, reason: 'attemptLost'});
		}

		default: {
			return assertNever(answer);
		}
	}
}

/**
 * Queues a job again and places what can be placed.
 *
 * @param state - The jobs before.
 * @param job - The job; it goes to the front of its queue.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function requeueJob(state: JobsState, job: JobState, context: Context): JobsStep {
	const {spec, attempt, mayHaveRun, failedWorkers} = job;
	return runSteps(state, [
		before => ({
			state: enqueueJob(before, {
				spec, attempt, mayHaveRun, failedWorkers,
			}, {isAtFront: true}),
			effects: [],
		}),
		before => placeWaitingJobs(before, spec.pool, context),
	]);
}
