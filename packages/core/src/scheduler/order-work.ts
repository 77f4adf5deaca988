/**
 * Orders the steps that have tasks to start, for when capacity is too small for all of them.
 */
import type {PoolId} from '@samphiremill/common';
import {
	getRemainingChainMs, getLongestChainMs, getObjectiveMs, type ParallelismLimit,
} from './estimates.js';
import type {
	Job, Ledger, StepProgress, StepSpecification,
} from './types.js';
import type {GetWaitMs} from './minion-capacity.js';
import {getPoolIndex, openDueOccurrences, type OpenStep} from './work-index.js';

/** A comparator of steps that may start; the first in order starts first. */
export type CompareReadySteps = (left: ReadyStep, right: ReadyStep) => number;

/** A step of an occurrence that has tasks which may start now. */
export type ReadyStep = {
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	readonly specification: StepSpecification;
	readonly progress: StepProgress;
	/** How long the start can still wait before the objective is missed, in milliseconds. */
	readonly slackMs: number;
	/** The work of the whole occurrence, in millicore milliseconds. */
	readonly work: number;
	/** Whether any task of the job was started before. */
	readonly hasStarted: boolean;
	readonly isLasting: boolean;
	/** How long its longest waiting task has waited, in milliseconds; 0 unless it is long-running. */
	readonly waitMs: number;
	readonly isLate: boolean;
};

/** How long after its due time the remaining steps of an occurrence may start without missing the objective; cached. */
type CachedSlack = {
	readonly limit: ParallelismLimit;
	readonly doneSteps: number;
	readonly startDelayMs: number;
};

// A cached value is valid as long as no further step of the occurrence is done and the limits stay the same.
const slackCache = new WeakMap<OpenStep['occurrenceProgress'], CachedSlack>();

const isSameLimit = (left: ParallelismLimit, right: ParallelismLimit) =>
	left.poolMillicores === right.poolMillicores && left.teamMillicores === right.teamMillicores;

const getMaximumStartDelayMs = ({job, occurrence, occurrenceProgress}: OpenStep, limit: ParallelismLimit): number => {
	const known = slackCache.get(occurrenceProgress);
	if (known?.doneSteps === occurrenceProgress.doneSteps && isSameLimit(known.limit, limit)) {
		return known.startDelayMs;
	}

	const progress = job.occurrences.get(occurrence);
	const remainingChainMs = progress === undefined ? 0 : getRemainingChainMs(job, progress, limit);
	const startDelayMs = getObjectiveMs(job, getLongestChainMs(job.specification.steps, limit)) - remainingChainMs;
	slackCache.set(occurrenceProgress, {limit, doneSteps: occurrenceProgress.doneSteps, startDelayMs});
	return startDelayMs;
};

const getLongestWaitMs = ({specification, progress}: OpenStep, getWaitMs: GetWaitMs) =>
	specification.isLasting ? Math.max(0, ...progress.tasks.filter(({runs}) => runs.length === 0).map(task => getWaitMs(task))) : 0;

const createReadyStep = (open: OpenStep, {nowMs, limit, waitMs}: {readonly nowMs: number; readonly limit: ParallelismLimit; readonly waitMs: number}): ReadyStep => {
	const {job, occurrence, step, specification, progress, work, dueMs} = open;
	const slackMs = dueMs + getMaximumStartDelayMs(open, limit) - nowMs;
	return {
		job, occurrence, step, specification, progress, slackMs, work, hasStarted: job.hasStarted, isLasting: specification.isLasting, waitMs, isLate: slackMs < 0,
	};
};

/** The default order of steps that may start. */
export const compareReadySteps: CompareReadySteps = (left, right) =>
	// Long-running tasks go first: there are few of them, and every moment without one counts.
	Number(right.isLasting) - Number(left.isLasting)
	// Among them, the step whose task has waited longest goes first. The other steps have no wait.
	|| right.waitMs - left.waitMs
	// Steps that miss their objective use only the capacity that others leave.
	|| Number(left.isLate) - Number(right.isLate)
	// Jobs that have started are finished first, in order of slack. Of the other jobs the smallest go first, so that
	// as many callers as possible are served when capacity is too small for all.
	|| Number(right.hasStarted) - Number(left.hasStarted)
	|| (left.hasStarted ? left.slackMs - right.slackMs : left.work - right.work);

/** Selects the pool whose ready steps are ordered. */
export type ReadyStepQuery = {
	readonly pool: PoolId;
	/** Processor capacity of its minions. */
	readonly poolMillicores: number;
	/** The current Unix time in milliseconds. */
	readonly nowMs: number;
	/** Whether any minion of the pool may have capacity for a task of the step. The other steps are left out. */
	readonly mayFit: (step: StepSpecification) => boolean;
	readonly getWaitMs: GetWaitMs;
	readonly compare?: CompareReadySteps;
};

/** Lists the steps of a pool that have tasks to start and may fit on a minion, the most urgent first. */
export function orderReadySteps({index, configuration}: Ledger, {pool, poolMillicores, nowMs, mayFit, getWaitMs, compare = compareReadySteps}: ReadyStepQuery): readonly ReadyStep[] {
	openDueOccurrences(index, nowMs);
	const steps: ReadyStep[] = [];
	for (const open of getPoolIndex(index, pool).ready) {
		if (!mayFit(open.specification)) {
			continue;
		}

		const {team} = open.job;
		const teamMillicores = team === undefined ? 0 : configuration?.teamsById.get(team)?.maximum.cpuMillicores ?? 0;
		steps.push(createReadyStep(open, {nowMs, limit: {poolMillicores, teamMillicores}, waitMs: getLongestWaitMs(open, getWaitMs)}));
	}

	return steps.toSorted(compare);
}
