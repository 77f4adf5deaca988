/**
 * Job table: the unfinished jobs with their timers. Jobs leave it only through `finishJob`.
 */
import type {JobId} from '@samphiremill/common';
import {insertItem, removeItem} from '../collections/sorted-set.js';
import {changePoolTeam, changeState} from './change-state.js';
import {removeTicket} from './job-queue.js';
import {createRefusal, getRan} from './outcome.js';
import {updatePoolTeam} from './pool-teams.js';
import type {JobsState, JobsStep, JobState} from './state.js';
import type {
	JobOutcome, JobsEffect, JobSpec, RefusalReason,
} from './types.js';

/** Runs the steps in order, each on the state of the one before, and collects all effects. */
export function runSteps(
	state: JobsState,
	steps: ReadonlyArray<(state: JobsState) => JobsStep>,
): JobsStep {
	let current = state;
	const effects: JobsEffect[] = [];
	for (const step of steps) {
		const next = step(current);
		current = next.state;
		effects.push(...next.effects);
	}

	return {state: current, effects};
}

type WithoutTimer<Job> = Job extends JobState ? Omit<Job, 'timerAtMs'> : never;

/** The next state of a job, before its timer is set. */
export type NextJobState = WithoutTimer<JobState>;

/**
 * Puts a job into its next state. The timer is moved only to an earlier time, since a timer that fires
 * early costs less than moving it.
 */
export function putJob(state: JobsState, next: NextJobState): JobsState {
	const {job} = next.spec;
	const before = state.jobs.get(job);
	const isTimerKept = before !== undefined && before.timerAtMs <= next.dueAtMs;
	const timerAtMs = isTimerKept ? before.timerAtMs : next.dueAtMs;
	const jobs = state.jobs.set(job, {...next, timerAtMs});
	if (isTimerKept) {
		return changeState(state, {jobs});
	}

	const remainingTimers = before === undefined ? state.timers : removeItem(state.timers, {atMs: before.timerAtMs, job});
	return changeState(state, {jobs, timers: insertItem(remainingTimers, {atMs: timerAtMs, job})});
}

/** Sets a job's timer to `dueAtMs` after it fired early. */
export function resetTimer(state: JobsState, job: JobState): JobsState {
	const remainingTimers = removeItem(state.timers, {atMs: job.timerAtMs, job: job.spec.job});
	return changeState(state, {
		jobs: state.jobs.set(job.spec.job, {...job, timerAtMs: job.dueAtMs}),
		timers: insertItem(remainingTimers, {atMs: job.dueAtMs, job: job.spec.job}),
	});
}

/** Removes a waiting job from its team's queue in constant time. The job stays in the job table. */
export function dequeueJob(state: JobsState, job: JobState & {readonly type: 'queued'}): JobsState {
	const {pool, team, urgency} = job.spec;
	return updatePoolTeam(state, {pool, team}, poolTeam => changePoolTeam(poolTeam, {
		[urgency]: removeTicket(poolTeam[urgency], job.ticket),
	}));
}

function removeJob(state: JobsState, id: JobId): JobsState {
	const job = state.jobs.get(id);
	if (job === undefined) {
		return state;
	}

	const dequeued = job.type === 'queued' ? dequeueJob(state, job) : state;
	return changeState(dequeued, {
		jobs: dequeued.jobs.delete(id),
		timers: removeItem(dequeued.timers, {atMs: job.timerAtMs, job: id}),
	});
}

/** Ends a job with its one outcome. Resources that its attempts hold are not released. */
export function finishJob(state: JobsState, spec: JobSpec, outcome: JobOutcome): JobsStep {
	return {state: removeJob(state, spec.job), effects: [{type: 'jobs/finish', spec, outcome}]};
}

/** Refuses a job and logs the decision. The job need not be in the job table. */
export function refuseSpec(
	state: JobsState,
	options: Parameters<typeof createRefusal>[0] & {readonly spec: JobSpec},
): JobsStep {
	const {spec, reason, ran, retryAfterMs} = options;
	const {job, team, queue, pool} = spec;
	const counted = updatePoolTeam(state, {pool, team}, poolTeam => changePoolTeam(poolTeam, {refusedCount: poolTeam.refusedCount + 1}));
	const {state: finished, effects} = finishJob(counted, spec, createRefusal(options));
	const decision = {
		kind: 'refused' as const, job, team, queue, pool, reason, ran,
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
	return {state: finished, effects: [{type: 'jobs/decision', decision}, ...effects]};
}

/** Refuses a job of the job table. `ran` is derived from its state. */
export function refuseJob(state: JobsState, options: {
	readonly job: JobState;
	readonly reason: RefusalReason;
	readonly retryAfterMs?: number;
}): JobsStep {
	const {job, ...rest} = options;
	return refuseSpec(state, {...rest, spec: job.spec, ran: getRan(job)});
}
