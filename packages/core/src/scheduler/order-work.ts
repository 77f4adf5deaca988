/**
 * Which work goes first when not all of it fits.
 */
import type {PoolId} from '@samphiremill/common';
import {
	getRemainingChainMs, getLongestChainMs, getObjectiveMs, type ParallelismLimit,
} from './estimates.js';
import {fitsInto, getReservedResources} from './resources.js';
import type {
	Job, Ledger, Resources, StepProgress, StepSpecification,
} from './types.js';
import {getPoolIndex, openDueOccurrences, type OpenStep} from './work-index.js';

/** Orders steps that may start, the first to start first. */
export type CompareReadySteps = (left: ReadyStep, right: ReadyStep) => number;

/** One step of one occurrence that may start tasks now. */
export type ReadyStep = {
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	readonly specification: StepSpecification;
	readonly progress: StepProgress;
	/** Time to spare until the objective is missed, in milliseconds. */
	readonly slackMs: number;
	/** The work of the whole occurrence, in millicore milliseconds. */
	readonly work: number;
	/** Whether tasks of the occurrence were started before. */
	readonly hasStarted: boolean;
	readonly isLasting: boolean;
	readonly isLate: boolean;
};

/** What an occurrence may take from when it is due until its last task has to start. */
type Allowance = {
	readonly bound: ParallelismLimit;
	readonly doneSteps: number;
	readonly allowanceMs: number;
};

// Estimates of one occurrence, for as long as none of its steps is done and the pool keeps its size.
const allowances = new WeakMap<OpenStep['occurrenceProgress'], Allowance>();

const isSameBound = (left: ParallelismLimit, right: ParallelismLimit) =>
	left.poolMillicores === right.poolMillicores && left.teamMillicores === right.teamMillicores;

const getAllowanceMs = ({job, occurrence, occurrenceProgress: chain}: OpenStep, bound: ParallelismLimit): number => {
	const known = allowances.get(chain);
	if (known?.doneSteps === chain.doneSteps && isSameBound(known.bound, bound)) {
		return known.allowanceMs;
	}

	const progress = job.occurrences[occurrence];
	const chainLeftMs = progress === undefined ? 0 : getRemainingChainMs(job, progress, bound);
	const allowanceMs = getObjectiveMs(job, getLongestChainMs(job.specification.steps, bound)) - chainLeftMs;
	allowances.set(chain, {bound, doneSteps: chain.doneSteps, allowanceMs});
	return allowanceMs;
};

const createReadyStep = (open: OpenStep, {nowMs, bound}: {readonly nowMs: number; readonly bound: ParallelismLimit}): ReadyStep => {
	const {job, occurrence, step, specification, progress, work, dueMs} = open;
	const slackMs = dueMs + getAllowanceMs(open, bound) - nowMs;
	return {
		job, occurrence, step, specification, progress, slackMs, work, hasStarted: job.hasStarted, isLasting: specification.isLasting, isLate: slackMs < 0,
	};
};

/**
 * @param left - A step that may start.
 * @param right - Another.
 * @returns Less than 0 if the left one goes first.
 */
export const compareReadySteps: CompareReadySteps = (left, right) =>
	// Lasting tasks are few, and each moment without one counts.
	Number(right.isLasting) - Number(left.isLasting)
	// What has missed its objective takes the room that is left.
	|| Number(left.isLate) - Number(right.isLate)
	// Work that is begun is finished first, the nearest to missing its objective before the others; of
	// the rest the smallest, so that most callers are served when not all can be.
	|| Number(right.hasStarted) - Number(left.hasStarted)
	|| (left.hasStarted ? left.slackMs - right.slackMs : left.work - right.work);

/** A pool whose work is put in order. */
export type ReadyStepQuery = {
	readonly pool: PoolId;
	/** Processors of its minions. */
	readonly poolMillicores: number;
	/** The Unix time in milliseconds. */
	readonly nowMs: number;
	/** The most of each resource that a minion of it has left; steps that take more are left out. */
	readonly largestFreeCapacity: Resources;
	readonly compare?: CompareReadySteps;
};

/**
 * @param ledger - The ledger.
 * @param view - The pool and the time.
 * @returns The pool's steps with tasks to start that may find room, the most urgent first.
 */
export function orderReadySteps({index, configuration}: Ledger, {pool, poolMillicores, nowMs, largestFreeCapacity: largestRoom, compare = compareReadySteps}: ReadyStepQuery): readonly ReadyStep[] {
	openDueOccurrences(index, nowMs);
	const steps: ReadyStep[] = [];
	for (const open of getPoolIndex(index, pool).ready) {
		if (!fitsInto(largestRoom, getReservedResources(open.specification))) {
			continue;
		}

		const {team} = open.job;
		const teamMillicores = team === undefined ? 0 : configuration?.teamsById.get(team)?.maximum.cpuMillicores ?? 0;
		steps.push(createReadyStep(open, {nowMs, bound: {poolMillicores, teamMillicores}}));
	}

	return steps.toSorted(compare);
}
