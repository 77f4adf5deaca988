/**
 * Admission control. Load pattern: the queues take turns in asking for several times their mean, more than their
 * pool can run, for a few seconds. A job that would finish far too late is refused on submission, so that its caller
 * knows at once and the capacity goes to jobs that can finish in time.
 */
import {
	getLongestChainMs, getObjectiveMs, getOccurrenceWork, type ObjectivePolicy, type ParallelismLimit,
} from './estimates.js';
import {hasRoomForJob} from './job-memory.js';
import {fitsInto} from './resources.js';
import type {JobSpecification, Resources} from './types.js';

/** The state of a pool on which an admission decision is based. */
export type PoolLoad = {
	/** Processor capacity of the pool's usable minions that long-running tasks leave. */
	readonly cpuMillicores: number;
	/** Limits how many tasks of a step run in parallel. */
	readonly parallelismLimit: ParallelismLimit;
	/** The remaining work of accepted jobs that go before this one, in millicore milliseconds. */
	readonly workAhead: number;
	/** The largest capacity per resource among the pool's minions; `undefined` while none is known. */
	readonly largestMinion: Resources | undefined;
	/** Bytes that the jobs of all pools take in the memory of a control host, by estimate. */
	readonly storedBytes: number;
	/** How long the advice service is busy with steps that wait for it already, in milliseconds; 0 for a queue without advice. */
	readonly adviceWaitMs: number;
};

/** The decision on a submitted job. */
export type Admission
	= | {readonly type: 'accepted'; readonly expectedMs: number}
		| {readonly type: 'refused'; readonly reason: AdmissionRefusalReason; readonly retryAfterMs: number; readonly expectedMs: number};

/** The reason why a job is refused. */
export type AdmissionRefusalReason
	/** The work ahead of it would make it finish far beyond its objective. */
	= | 'poolFull'
	/** The advice service answers for its first step too late for that. */
		| 'adviceBusy'
	/** One of its tasks fits on no minion of the pool. */
		| 'tooLarge'
	/** The control hosts have no memory for one more job. */
		| 'storeFull';

// A late job is still of some use to its caller, and uses only capacity that others leave. A job that takes longer
// than this many times its objective is of no use.
const maximumObjectiveFactor = 3;
const emptyPoolWaitMs = 1000;
const minimumRetryMs = 1000;
const maximumRetryMs = 10_000;

/**
 * Accepts or refuses a submitted job. A refusal carries the time after which a resubmission is likely to succeed.
 *
 * @param objectiveFactor - How many times its objective a job may be expected to take.
 */
export function admitJob(specification: JobSpecification, policy: ObjectivePolicy, load: PoolLoad, objectiveFactor = maximumObjectiveFactor): Admission {
	const {largestMinion} = load;
	if (largestMinion !== undefined && specification.steps.some(({request}) => !fitsInto(largestMinion, request))) {
		return {
			type: 'refused', reason: 'tooLarge', retryAfterMs: maximumRetryMs, expectedMs: Number.POSITIVE_INFINITY,
		};
	}

	if (!hasRoomForJob(load.storedBytes, specification)) {
		return {
			type: 'refused', reason: 'storeFull', retryAfterMs: maximumRetryMs, expectedMs: Number.POSITIVE_INFINITY,
		};
	}

	const hasNoObjective = specification.schedule !== undefined || specification.steps.some(({isLasting}) => isLasting);
	if (hasNoObjective) {
		return {type: 'accepted', expectedMs: 0};
	}

	const chainMs = getLongestChainMs(specification.steps, load.parallelismLimit);
	const waitMs = load.cpuMillicores <= 0 ? emptyPoolWaitMs : load.workAhead / load.cpuMillicores;
	const workMs = load.cpuMillicores <= 0 ? 0 : getOccurrenceWork(specification) / load.cpuMillicores;
	// Both waits pass at the same time.
	const expectedMs = Math.max(waitMs, load.adviceWaitMs) + Math.max(chainMs, workMs);
	const objectiveMs = getObjectiveMs(policy, Math.max(chainMs, workMs));
	if (expectedMs <= objectiveMs * objectiveFactor) {
		return {type: 'accepted', expectedMs};
	}

	const retryAfterMs = Math.min(maximumRetryMs, Math.max(minimumRetryMs, expectedMs - objectiveMs));
	return {
		type: 'refused', reason: load.adviceWaitMs > waitMs ? 'adviceBusy' : 'poolFull', retryAfterMs, expectedMs,
	};
}
