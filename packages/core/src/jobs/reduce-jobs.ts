/**
 * The one reducer over all that happens to jobs.
 */
import {assertNever} from '@samphiremill/common';
import {changeState} from './change-state.js';
import {applyClaimAnswer, submitJob} from './admit-jobs.js';
import {
	applyLimitHeld, applyMinions, applyPolicy, applyRunningElsewhere, applySlotsHeld, endLease,
} from './apply-policy.js';
import {applyTick} from './apply-tick.js';
import {
	applyAnswered, applyAnswerStarted, applyAttemptFailed, applyFirstByteSent, applySlotFreed, applyStartRecorded, abortJob,
} from './attempts.js';
import {learnUsages} from './estimates.js';
import type {JobsState, JobsStep} from './state.js';
import type {JobsCfg, JobsEvent} from './types.js';

/**
 * @param state - The jobs before the event.
 * @param event - What happened, with its time. Late, repeated and crossed events are harmless.
 * @param cfg - Bounds and chance.
 * @returns The jobs after the event, and what is to be done.
 */
export function reduceJobs(state: JobsState, event: JobsEvent, cfg: JobsCfg): JobsStep {
	const context = {nowMs: event.nowMs, cfg};
	switch (event.type) {
		case 'jobs/submitted': {
			return submitJob(state, event.spec, context);
		}

		case 'jobs/claimAnswered': {
			return applyClaimAnswer(state, {job: state.jobs.get(event.job), answer: event.answer}, context);
		}

		case 'jobs/startRecorded': {
			return applyStartRecorded(state, event, context);
		}

		case 'jobs/firstByteSent': {
			return applyFirstByteSent(state, event);
		}

		case 'jobs/answerStarted': {
			return applyAnswerStarted(state, event);
		}

		case 'jobs/answered': {
			return applyAnswered(state, event, context);
		}

		case 'jobs/attemptFailed': {
			return applyAttemptFailed(state, event, context);
		}

		case 'jobs/cancelRequested': {
			return abortJob(state, {job: state.jobs.get(event.job), reason: 'cancelled'}, context);
		}

		case 'jobs/slotFreed': {
			return applySlotFreed(state, event, context);
		}

		case 'jobs/leaseEnded': {
			return endLease(state, event, context);
		}

		case 'jobs/policyChanged': {
			return applyPolicy(state, event.policy, context);
		}

		case 'jobs/minionsChanged': {
			return applyMinions(state, event.minions, context);
		}

		case 'jobs/slotsHeld': {
			return applySlotsHeld(state, event, context);
		}

		case 'jobs/limitHeld': {
			return applyLimitHeld(state, event, context);
		}

		case 'jobs/runningElsewhere': {
			return {state: applyRunningElsewhere(state, event.running), effects: []};
		}

		case 'jobs/usageReported': {
			return {state: learnUsages(state, event.usages), effects: []};
		}

		case 'jobs/tick': {
			return applyTick(state, context);
		}

		case 'jobs/stopping': {
			return {state: changeState(state, {isStopping: true}), effects: []};
		}

		default: {
			return assertNever(event);
		}
	}
}
