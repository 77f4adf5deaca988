/**
 * Which work goes first when not all of it fits.
 */
import type {PoolId} from '@samphiremill/common';
import {
	getChainLeftMs, getDueMs, getLongestChainMs, getObjectiveMs, type WidthBound,
} from './estimates.js';
import {getStepProgress} from './ledger.js';
import type {Job, Ledger} from './types.js';

/** One step of one occurrence that may start tasks now. */
export type ReadyStep = {
	readonly job: Job;
	readonly occurrence: number;
	readonly step: number;
	/** Time to spare until the objective is missed, in milliseconds. */
	readonly slackMs: number;
	readonly isLasting: boolean;
	readonly isLate: boolean;
};

const isStepReady = (job: Job, occurrence: number, step: number) => {
	const progress = getStepProgress({job, occurrence, step});
	if (progress === undefined || progress.idleCount === 0) {
		return false;
	}

	const dependsOn = job.specification.steps[step]?.dependsOn ?? [];
	return dependsOn.every(earlier => {
		const before = getStepProgress({job, occurrence, step: earlier});
		return before !== undefined && before.doneCount === before.tasks.length;
	});
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
					job, occurrence, step, slackMs, isLasting: job.specification.steps[step]?.isLasting ?? false, isLate: slackMs < 0,
				});
			}
		}
	}

	return ready;
};

// Lasting tasks first: they are few, and each moment without one counts. Then what can still meet its
// objective, the nearest to missing it first; what has missed it takes the room that is left.
const compareReadySteps = (left: ReadyStep, right: ReadyStep) =>
	Number(right.isLasting) - Number(left.isLasting)
	|| Number(left.isLate) - Number(right.isLate)
	|| left.slackMs - right.slackMs;

/**
 * @param ledger - The ledger.
 * @param view - The Unix time, and the processors of each pool.
 * @returns The steps with tasks to start, by pool, the most urgent first.
 */
export function orderReadySteps(ledger: Ledger, {nowMs, millicoresByPool}: {readonly nowMs: number; readonly millicoresByPool: ReadonlyMap<PoolId, number>}): ReadonlyMap<PoolId, readonly ReadyStep[]> {
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
		steps.sort(compareReadySteps);
	}

	return byPool;
}
