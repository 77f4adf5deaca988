import type {RandomSource} from '@samphiremill/common';
import type {JobsCfg} from './types.js';

/** The weight of a team that no share record names. */
export const defaultTeamWeight = 1;
/** The number of samples from which on a learned quantile counts more than a declared size. */
export const minimumSampleCount = 8;
/** The quantile of used cores and memory that is set aside for a job. */
export const resourceUseQuantile = 0.9;
/** The quantile of run times that queue waits are reckoned with. */
export const waitQuantile = 0.5;
/** The quantile of run times below which a job is not expected to finish. */
export const shortestRunQuantile = 0.1;
/** A job that failed on this many workers is at fault itself. */
export const maximumFailedWorkers = 3;
/** When to come back after a refusal that no estimate exists for, in milliseconds. */
export const defaultRetryAfterMs = 1000;
/** The largest part of a pool's workers that may be taken out for failures. */
export const maximumEjectedFraction = 0.5;

/**
 * @param random - The source of chance.
 * @returns The bounds that a daemon starts with.
 */
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
/** How far back the shares report reaches, in milliseconds. */
export const shareWindowMs = 300_000;
/** How often the shares are sampled, in milliseconds. */
export const shareSampleIntervalMs = 1000;
/** A waiting job is refused once its expected wait is this many times the time that it has left. */
export const sheddingFactor = 1.5;
/** The most jobs of one team in one pool that are refused for their wait at once. */
export const maximumShedJobs = 1000;
