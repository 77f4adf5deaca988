/**
 * The table of unfinished jobs with their timers, and the one way out of it.
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

/**
 * @param steps - Changes to make one after the other, each from the state that the one before left.
 * @param state - The state to begin with.
 * @returns The last state and all effects in order.
 */
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

/** A job's next state, whose timer is not set yet. */
export type NextJobState = WithoutTimer<JobState>;

/**
 * Puts a job into its next state. A timer that goes off too early costs less than moving it, so it
 * is moved only to an earlier time.
 *
 * @param state - The jobs before.
 * @param next - The job's next state.
 * @returns The jobs after.
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

/**
 * Sets a job's timer to when the job is due, after it went off too early.
 *
 * @param state - The jobs before.
 * @param job - The job.
 * @returns The jobs after.
 */
export function resetTimer(state: JobsState, job: JobState): JobsState {
	const without = removeItem(state.timers, {atMs: job.timerAtMs, job: job.spec.job});
	return changeState(state, {
		jobs: state.jobs.set(job.spec.job, {...job, timerAtMs: job.dueAtMs}),
		timers: insertItem(without, {atMs: job.dueAtMs, job: job.spec.job}),
	});
}

/**
 * Takes a waiting job out of its team's queue, in constant time.
 *
 * @param state - The jobs before.
 * @param job - A queued job.
 * @returns The jobs after; the job itself is still in the table.
 */
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

/**
 * Ends a job with its one outcome.
 *
 * @param state - The jobs before.
 * @param spec - The job.
 * @param outcome - What the caller is told.
 * @returns The step. What the job's attempts hold stays held.
 */
export function finishJob(state: JobsState, spec: JobSpec, outcome: JobOutcome): JobsStep {
	return {state: removeJob(state, spec.job), effects: [{type: 'jobs/finish', spec, outcome}]};
}

/**
 * Refuses a job, with a log record of the decision.
 *
 * @param state - The jobs before.
 * @param options - The job, the outcome's reason, whether it ran, and when to come back.
 * @returns The step.
 */
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

/**
 * Refuses a job of the table, saying of its run exactly what its state allows.
 *
 * @param state - The jobs before.
 * @param options - The job, why it is refused, and when to come back.
 * @returns The step.
 */
export function refuseJob(state: JobsState, options: {
	readonly job: JobState;
	readonly reason: RefusalReason;
	readonly retryAfterMs?: number;
}): JobsStep {
	const {job, ...rest} = options;
	return refuseSpec(state, {...rest, spec: job.spec, ran: getRan(job)});
}
