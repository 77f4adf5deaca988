/**
 * What falls due: claims without an answer, waits and attempts past their time, retries, probes.
 */
import {assertNever} from '@samphiremill/common';
import {getFirstItem} from '../collections/sorted-set.js';
import {startDueProbe} from '../placement/index.js';
import {changePool, changeState} from './change-state.js';
import {requeueJob} from './admit-jobs.js';
import {abortJob, recordWorkerResult} from './attempts.js';
import {defaultRetryAfterMs} from './constants.js';
import {estimateWaitMs} from './estimates.js';
import {resetTimer, runSteps} from './job-table.js';
import {listWorkerPools, putWorkerHealth} from './minions.js';
import {placeWaitingJobs} from './place-jobs.js';
import {
	canRunMore, getTeam, getWaitingCount,
} from './pool-teams.js';
import {getReservationKey} from './reservations.js';
import {sampleShares} from './share-report.js';
import {shedLateJobs} from './shed-jobs.js';
import type {
	Context, JobsState, JobsStep, JobState,
} from './state.js';
import type {JobsEffect, TeamDemand} from './types.js';

function refuseWaitingJob(state: JobsState, job: JobState, context: Context): JobsStep {
	const isLimitReached = !canRunMore(getTeam(state, job.spec.team));
	const retryAfterMs = Math.max(defaultRetryAfterMs, estimateWaitMs(state, job.spec) ?? 0);
	return abortJob(state, {
		job, reason: isLimitReached ? 'limitReached' : 'deadlineTooNear', retryAfterMs,
	}, context);
}

/** An attempt that is not answered in time speaks against its worker, too. */
function endTimedOutAttempt(state: JobsState, job: JobState, context: Context): JobsStep {
	const reservation = state.reservations.get(getReservationKey({job: job.spec.job, attempt: job.attempt}));
	return runSteps(state, [
		before => recordWorkerResult({
			state: before, reservation, isFailure: true, context,
		}),
		before => abortJob(before, {job, reason: 'deadlinePassed'}, context),
	]);
}

function applyDueJob(state: JobsState, job: JobState, context: Context): JobsStep {
	switch (job.type) {
		case 'claiming': {
			return abortJob(state, {job, reason: 'ownerUnreachable', retryAfterMs: defaultRetryAfterMs}, context);
		}

		case 'queued': {
			return refuseWaitingJob(state, job, context);
		}

		case 'backingOff': {
			return requeueJob(state, job, context);
		}

		case 'reserved': {
			return abortJob(state, {job, reason: 'ownerUnreachable', retryAfterMs: defaultRetryAfterMs}, context);
		}

		case 'dispatched':
		case 'byteSent': {
			return endTimedOutAttempt(state, job, context);
		}

		case 'answering': {
			return {state, effects: []};
		}

		default: {
			return assertNever(job);
		}
	}
}

function applyTimers(state: JobsState, context: Context): JobsStep {
	const effects: JobsEffect[] = [];
	let current = state;
	for (;;) {
		const timer = getFirstItem(current.timers);
		const job = timer && current.jobs.get(timer.job);
		if (timer === undefined || job === undefined || timer.atMs > context.nowMs) {
			return {state: current, effects};
		}

		const step = job.dueAtMs > context.nowMs
			? {state: resetTimer(current, job), effects: []}
			: applyDueJob(current, job, context);
		current = step.state;
		effects.push(...step.effects);
	}
}

function startDueProbes(state: JobsState, context: Context): JobsStep {
	const due = [...state.workers].filter(([, health]) => startDueProbe(health, context.nowMs) !== health);
	const steps = due.map(([worker, health]) => (before: JobsState): JobsStep => ({
		state: putWorkerHealth(before, worker, startDueProbe(health, context.nowMs)),
		effects: [{
			type: 'jobs/decision',
			decision: {kind: 'workerProbed', worker, failuresCounted: health.failuresInRow},
		}],
	}));
	const pools = new Set(due.flatMap(([worker]) => listWorkerPools(state, worker)));
	return runSteps(state, [
		...steps,
		...[...pools].map(pool => (before: JobsState) => placeWaitingJobs(before, pool, context)),
	]);
}

function reportDemands(state: JobsState): JobsStep {
	const demands: TeamDemand[] = [];
	let {pools} = state;
	for (const [pool, poolState] of state.pools) {
		const changed = poolState.teams.filter(({isDemandChanged}) => isDemandChanged);
		for (const [team, poolTeam] of changed) {
			demands.push({
				pool, team, waiting: getWaitingCount(poolTeam), running: poolTeam.running,
			});
		}

		if (changed.size > 0) {
			const teams = poolState.teams.merge(changed.map(team => ({...team, isDemandChanged: false})));
			pools = pools.set(pool, changePool(poolState, {teams}));
		}
	}

	return demands.length === 0
		? {state, effects: []}
		: {state: changeState(state, {pools}), effects: [{type: 'jobs/demandChanged', demands}]};
}

/**
 * Does what has fallen due, and makes known whose demand has changed since the last time.
 *
 * @param state - The jobs before.
 * @param context - The time, bounds and chance.
 * @returns The step.
 */
export function applyTick(state: JobsState, context: Context): JobsStep {
	return runSteps(state, [
		before => applyTimers(before, context),
		before => startDueProbes(before, context),
		before => shedLateJobs(before, context),
		reportDemands,
		before => ({state: sampleShares(before, context.nowMs), effects: []}),
	]);
}
