/**
 * Admission of a job, from its submission until it is queued.
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
		// After this time the queue is short enough for a job with the same time until its deadline.
		return {reason: 'deadlineTooNear', retryAfterMs: Math.max(defaultRetryAfterMs, nowMs + (waitMs ?? 0) - latestStartMs)};
	}

	return undefined;
}

/**
 * Puts a job into its team's queue.
 *
 * @param options - `isAtFront` is set for a job that has waited before.
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
 * Admits a new job. For a job with an idempotency key, the owner of the key is asked first, so that a
 * refusal can state truthfully that the job did not run. A job that is already known is ignored.
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
 * Continues with a job according to the answer of the owner of its idempotency key. An answer for a
 * job that does not wait for one is ignored.
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

/** Puts a job back at the front of its queue and places waiting jobs of the pool. */
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
