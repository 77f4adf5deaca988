/**
 * How much work a job still is, and when it ought to be done.
 */
import type {
	Job, JobSpecification, Occurrence, StepSpecification,
} from './types.js';

/** What bounds how much of a step runs at once. */
export type ParallelismLimit = {
	/** Processors of the pool. */
	readonly poolMillicores: number;
	/** Processors that the job's team may use; 0 means no bound. */
	readonly teamMillicores: number;
};

// A step that is wider than this part of its pool is expected to run in rounds.
const maximumShareOfPool = 0.25;

const getRounds = ({count, request, isLasting}: StepSpecification, {poolMillicores, teamMillicores}: ParallelismLimit) => {
	const width = Math.min(poolMillicores * maximumShareOfPool, teamMillicores === 0 ? Number.POSITIVE_INFINITY : teamMillicores);
	return isLasting || width <= 0 ? 1 : Math.max(1, Math.ceil(count * request.cpuMillicores / width));
};

/**
 * @param steps - The steps of a job.
 * @param limit - What bounds how much of a step runs at once.
 * @param isRemaining - Whether a step still counts.
 * @returns The length of the longest chain of steps that depend on each other, in milliseconds.
 */
export function getLongestChainMs(steps: readonly StepSpecification[], limit: ParallelismLimit, isRemaining: (step: number) => boolean = () => true): number {
	const ends: number[] = [];
	for (const [index, step] of steps.entries()) {
		const readyMs = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0));
		ends.push(readyMs + (isRemaining(index) ? step.estimateMs * getRounds(step, limit) : 0));
	}

	return Math.max(0, ...ends);
}

/**
 * @param specification - A job's specification.
 * @returns The work of one occurrence, in millicore milliseconds.
 */
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

/**
 * @param job - A job.
 * @param occurrence - One of its occurrences.
 * @param bound - What bounds how much of a step runs at once.
 * @returns The longest chain of what is left of it, in milliseconds.
 */
export function getRemainingChainMs(job: Job, occurrence: Occurrence, bound: ParallelismLimit): number {
	return getLongestChainMs(job.specification.steps, bound, step => isStepRemaining(occurrence, step));
}

/** What of a queue's policy sets a job's objective. */
export type ObjectivePolicy = Pick<Job, 'stretchFactor' | 'startLatencyMs'>;

/**
 * @param policy - The queue's policy.
 * @param chainMs - The job's longest chain.
 * @returns Within which time after its hand-in the job is to be done, in milliseconds.
 */
export function getObjectiveMs({stretchFactor, startLatencyMs}: ObjectivePolicy, chainMs: number): number {
	return (stretchFactor * chainMs) + startLatencyMs;
}

/**
 * @param job - A job.
 * @param occurrence - The number of the occurrence.
 * @returns When it is due to start, as Unix time in milliseconds.
 */
export function getDueAtMs(job: Job, occurrence: number): number {
	const {schedule} = job.specification;
	return schedule === undefined ? job.acceptedAtMs : schedule.firstDueAtMs + (occurrence * schedule.intervalMs);
}
