/**
 * Whether a job is taken on. Load pattern: each queue in turn asks for several times its mean, more
 * than its pool holds, for some seconds. A job that would come far too late is refused
 * when it is handed in, so that its caller knows at once and the room goes to jobs that can make it.
 */
import {
	getLongestChainMs, getObjectiveMs, getOccurrenceWork, type ObjectivePolicy, type ParallelismLimit,
} from './estimates.js';
import {fitsInto} from './resources.js';
import type {JobSpecification, Resources} from './types.js';

/** The state of a pool that an admission rests on. */
export type PoolLoad = {
	/** Processors of the pool's usable minions that lasting tasks leave. */
	readonly cpuMillicores: number;
	/** What bounds how much of a step runs at once. */
	readonly parallelismLimit: ParallelismLimit;
	/** The work of accepted jobs that goes before this one, in millicore milliseconds. */
	readonly workAhead: number;
	/** The largest minion of the pool; absent while no minion of it is known. */
	readonly largestMinion: Resources | undefined;
};

/** The answer to a job that is handed in. */
export type Admission
	= | {readonly type: 'accepted'; readonly expectedMs: number}
		| {readonly type: 'refused'; readonly reason: AdmissionRefusalReason; readonly retryAfterMs: number; readonly expectedMs: number};

/** Why a job is refused. */
export type AdmissionRefusalReason
	/** The work before it leaves no time to meet its objective. */
	= | 'poolFull'
	/** A task of it fits no minion of the pool. */
		| 'tooLarge';

// A job that comes late is still of some use to its caller, and takes only room that others leave; one
// that comes later than this is of none.
const maximumObjectiveFactor = 3;
const emptyPoolWaitMs = 1000;
const minimumRetryMs = 1000;
const maximumRetryMs = 10_000;

/**
 * Decides on a job.
 *
 * @param specification - The job.
 * @param policy - The queue's policy.
 * @param load - The state of its pool.
 * @param objectiveFactor - How many times its objective a job may be expected to take.
 * @returns Whether to take it on; if not, after which time a place is likely.
 */
export function admitJob(specification: JobSpecification, policy: ObjectivePolicy, load: PoolLoad, objectiveFactor = maximumObjectiveFactor): Admission {
	const {largestMinion} = load;
	if (largestMinion !== undefined && specification.steps.some(({request}) => !fitsInto(largestMinion, request))) {
		return {
			type: 'refused', reason: 'tooLarge', retryAfterMs: maximumRetryMs, expectedMs: Number.POSITIVE_INFINITY,
		};
	}

	const hasNoObjective = specification.schedule !== undefined || specification.steps.some(({isLasting}) => isLasting);
	if (hasNoObjective) {
		return {type: 'accepted', expectedMs: 0};
	}

	const chainMs = getLongestChainMs(specification.steps, load.parallelismLimit);
	const waitMs = load.cpuMillicores <= 0 ? emptyPoolWaitMs : load.workAhead / load.cpuMillicores;
	const workMs = load.cpuMillicores <= 0 ? 0 : getOccurrenceWork(specification) / load.cpuMillicores;
	const expectedMs = waitMs + Math.max(chainMs, workMs);
	const objectiveMs = getObjectiveMs(policy, Math.max(chainMs, workMs));
	if (expectedMs <= objectiveMs * objectiveFactor) {
		return {type: 'accepted', expectedMs};
	}

	const retryAfterMs = Math.min(maximumRetryMs, Math.max(minimumRetryMs, expectedMs - objectiveMs));
	return {
		type: 'refused', reason: 'poolFull', retryAfterMs, expectedMs,
	};
}
