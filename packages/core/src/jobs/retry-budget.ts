/**
 * Retry budget of a queue. First attempts earn the tokens that retries spend, so that retries cannot
 * amplify an overload.
 */
import type {RandomSource} from '@samphiremill/common';

/** Retry tokens that a queue has left. Each retry costs one token. */
export type RetryBudget = {
	readonly tokens: number;
};

/** Creates a full budget. */
export function createRetryBudget(maximumTokens: number): RetryBudget {
	return {tokens: maximumTokens};
}

/** Adds the tokens that a first attempt earns (`ratio`), up to `maximumTokens`. */
export function creditRetryBudget(
	budget: RetryBudget,
	options: {readonly ratio: number; readonly maximumTokens: number},
): RetryBudget {
	return {tokens: Math.min(options.maximumTokens, budget.tokens + options.ratio)};
}

/** Takes one token for a retry. Returns `undefined` if less than one token is left. */
export function spendRetryToken(budget: RetryBudget): RetryBudget | undefined {
	return budget.tokens < 1 ? undefined : {tokens: budget.tokens - 1};
}

/**
 * Draws a retry delay in milliseconds, uniformly between 0 and a bound that doubles with each failure.
 *
 * @param options - `failures` is the number of failed attempts; `baseDelayMs` is the bound after the
 * first one.
 */
export function getRetryDelayMs(options: {
	readonly failures: number;
	readonly baseDelayMs: number;
	readonly random: RandomSource;
}): number {
	const {failures, baseDelayMs, random} = options;
	return random() * baseDelayMs * (2 ** Math.max(0, failures - 1));
}
