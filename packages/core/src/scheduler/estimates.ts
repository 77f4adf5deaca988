/**
 * Estimates the work and duration of jobs, and derives their time objectives.
 */
import type {
	Job, JobSpecification, Occurrence, StepSpecification,
} from './types.js';

/** Limits how many tasks of a step run in parallel. */
export type ParallelismLimit = {
	/** Processor capacity of the pool. */
	readonly poolMillicores: number;
	/** Processor capacity that the job's team may use; 0 means unlimited. */
	readonly teamMillicores: number;
};

// A step that needs more than this share of its pool is expected to run in several rounds.
const maximumShareOfPool = 0.25;

const getRounds = ({count, request, isLasting}: StepSpecification, {poolMillicores, teamMillicores}: ParallelismLimit) => {
	const width = Math.min(poolMillicores * maximumShareOfPool, teamMillicores === 0 ? Number.POSITIVE_INFINITY : teamMillicores);
	return isLasting || width <= 0 ? 1 : Math.max(1, Math.ceil(count * request.cpuMillicores / width));
};

/**
 * Returns the duration of the longest chain of dependent steps, in milliseconds.
 *
 * @param isRemaining - Whether a step still counts; by default all steps do.
 */
export function getLongestChainMs(steps: readonly StepSpecification[], limit: ParallelismLimit, isRemaining: (step: number) => boolean = () => true): number {
	const ends: number[] = [];
	for (const [index, step] of steps.entries()) {
		const readyMs = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0));
		ends.push(readyMs + (isRemaining(index) ? step.estimateMs * getRounds(step, limit) : 0));
	}

	return Math.max(0, ...ends);
}

/** Returns the duration of the longest chain of steps of a job that has its pool to itself, in milliseconds. */
export function estimateChainMs({steps}: JobSpecification): number {
	return getLongestChainMs(steps, {poolMillicores: 0, teamMillicores: 0});
}

/** Returns the work of one occurrence of a job without its long-running steps, in millicore milliseconds. */
export function getOccurrenceWork(specification: JobSpecification): number {
	let work = 0;
	for (const {count, request, estimateMs, isLasting} of specification.steps) {
		work += isLasting ? 0 : count * request.cpuMillicores * estimateMs;
	}

	return work;
}

const isStepRemaining = (occurrence: Occurrence, step: number) => {
	const progress = occurrence.steps[step];
	return progress !== undefined && progress.doneCount < progress.tasks.length;
};

/** Returns the duration of the longest chain of steps of an occurrence that are not done, in milliseconds. */
export function getRemainingChainMs(job: Job, occurrence: Occurrence, limit: ParallelismLimit): number {
	return getLongestChainMs(job.specification.steps, limit, step => isStepRemaining(occurrence, step));
}

/** The part of a queue's policy that determines the time objective of its jobs. */
export type ObjectivePolicy = Pick<Job, 'stretchFactor' | 'startLatencyMs'>;

/**
 * Returns the time objective of a job: within how many milliseconds after its submission it should be done.
 *
 * @param chainMs - The duration of the job's longest chain of steps.
 */
export function getObjectiveMs({stretchFactor, startLatencyMs}: ObjectivePolicy, chainMs: number): number {
	return (stretchFactor * chainMs) + startLatencyMs;
}

/**
 * Returns when an occurrence of a job is due to start, as Unix time in milliseconds.
 *
 * @param occurrence - The number of the occurrence, from 0.
 */
export function getDueAtMs(job: Job, occurrence: number): number {
	const {schedule} = job.specification;
	return schedule === undefined ? job.acceptedAtMs : schedule.firstDueAtMs + (occurrence * schedule.intervalMs);
}
