/**
 * Which work goes first when not all of it fits.
 */
import type {PoolId} from '@samphiremill/common';
import {
	getChainLeftMs, getDueMs, getLongestChainMs, getObjectiveMs, getWork, type WidthBound,
} from './estimates.js';
import {areDependenciesDone, getStepProgress} from './ledger.js';
import type {Job, Ledger} from './types.js';

/** Orders steps that may start, the first to start first. */
export type CompareReadySteps = (left: ReadyStep, right: ReadyStep) => number;

/** One step of one occurrence that may start tasks now. */
export type ReadyStep = {
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	/** Time to spare until the objective is missed, in milliseconds. */
	readonly slackMs: number;
	/** The work of the whole occurrence, in millicore milliseconds. */
	readonly work: number;
	/** Whether tasks of the occurrence were started before. */
	readonly hasStarted: boolean;
	readonly isLasting: boolean;
	readonly isLate: boolean;
};

const isStepReady = (job: Job, occurrence: number, step: number) => {
	const progress = getStepProgress({job, occurrence, step});
	if (progress === undefined || progress.idleCount === 0) {
		return false;
	}

	return areDependenciesDone({job, occurrence, step});
};

const getSlackMs = (job: Job, occurrence: number, {nowMs, bound}: {readonly nowMs: number; readonly bound: WidthBound}) => {
	const progress = job.occurrences[occurrence];
	const chainLeftMs = progress === undefined ? 0 : getChainLeftMs(job, progress, bound);
	const objectiveMs = getObjectiveMs(job, getLongestChainMs(job.specification.steps, bound));
	return getDueMs(job, occurrence) + objectiveMs - nowMs - chainLeftMs;
};

const listReadySteps = (job: Job, {nowMs, bound}: {readonly nowMs: number; readonly bound: WidthBound}): readonly ReadyStep[] => {
	const ready: ReadyStep[] = [];
	for (const [occurrence, {steps}] of job.occurrences.entries()) {
		if (job.specification.schedule !== undefined && getDueMs(job, occurrence) > nowMs) {
			break;
		}

		for (const step of steps.keys()) {
			if (isStepReady(job, occurrence, step)) {
				const slackMs = getSlackMs(job, occurrence, {nowMs, bound});
				ready.push({
					job,
					occurrence,
					step,
					slackMs,
					work: getWork(job.specification),
					hasStarted: job.hasStarted,
					isLasting: job.specification.steps[step]?.isLasting ?? false, isLate: slackMs < 0,
				});
			}
		}
	}

	return ready;
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

/**
 * @param ledger - The ledger.
 * @param view - The Unix time, and the processors of each pool.
 * @returns The steps with tasks to start, by pool, the most urgent first.
 */
export function orderReadySteps(ledger: Ledger, {nowMs, millicoresByPool, compare = compareReadySteps}: {
	readonly nowMs: number;
	readonly millicoresByPool: ReadonlyMap<PoolId, number>;
	readonly compare?: CompareReadySteps;
}): ReadonlyMap<PoolId, readonly ReadyStep[]> {
	const byPool = new Map<PoolId, ReadyStep[]>();
	for (const job of ledger.activeJobs) {
		const bound = {
			poolMillicores: millicoresByPool.get(job.pool) ?? 0,
			teamMillicores: job.team === undefined ? 0 : ledger.configuration?.teamsById.get(job.team)?.maximum.cpuMillicores ?? 0,
		};
		const ready = listReadySteps(job, {nowMs, bound});
		if (ready.length > 0) {
			const known = byPool.get(job.pool) ?? [];
			byPool.set(job.pool, known);
			known.push(...ready);
		}
	}

	for (const steps of byPool.values()) {
		steps.sort(compare);
	}

	return byPool;
}
