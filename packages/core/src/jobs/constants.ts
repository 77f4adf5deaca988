import type {RandomSource} from '@samphiremill/common';
import type {JobsCfg} from './types.js';

/** Weight of a team that no share record names. */
export const defaultTeamWeight = 1;
/** Minimum number of samples before a learned quantile replaces a declared size. */
export const minimumSampleCount = 8;
/** Quantile of the used cores and memory that is reserved for a job. */
export const resourceUseQuantile = 0.9;
/** Quantile of run times that queue waits are estimated from. */
export const waitQuantile = 0.5;
/**
 * Quantile of run times that is the minimum run time of a job. With less time left, it is not expected
 * to finish.
 */
export const shortestRunQuantile = 0.1;
/**
 * Quantile of run times that a job whose start was recorded must still have before its deadline. With less time left,
 * its attempt would more likely be lost than answered.
 */
export const dispatchQuantile = 0.5;
/**
 * Share of the time between the placement of a job and its deadline that is kept for its run, while too few run times are
 * known. A start record that takes longer than the rest shows a host under load, where the answer takes long, too.
 */
export const unknownRunShare = 0.5;
/** Number of distinct workers after which failures are attributed to the job itself. */
export const maximumFailedWorkers = 3;
/** Time in milliseconds after which a refused caller should retry, if no estimate exists. */
export const defaultRetryAfterMs = 1000;
/** Maximum fraction of a pool's workers that may be ejected for failures. */
export const maximumEjectedFraction = 0.5;

/** Creates the configuration that a daemon starts with. */
export function createDefaultJobsCfg(random: RandomSource): JobsCfg {
	return {
		random,
		claimTimeoutMs: 1000,
		maximumWaitingJobs: 10_000,
		maximumAttempts: 4,
		placementChoices: 3,
		retryRatio: 0.1,
		maximumRetryTokens: 10,
		retryBaseDelayMs: 50,
		health: {ejectionFailures: 5, ejectionBaseMs: 5000, ejectionMaximumMs: 60_000},
	};
}

/** A time in milliseconds that no timer reaches. */
export const neverMs = Number.MAX_SAFE_INTEGER;
/** Length of the shares report window in milliseconds. */
export const shareWindowMs = 300_000;
/** Interval between two samples of the shares in milliseconds. */
export const shareSampleIntervalMs = 1000;
/** A waiting job is refused once its estimated wait exceeds the time that it has left by this factor. */
export const sheddingFactor = 1.5;
/** Maximum number of jobs of one team in one pool that are shed in one tick. */
export const maximumShedJobs = 1000;
