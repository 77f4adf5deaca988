/**
 * Retries are paid for by first attempts, so that they cannot turn an overload into a storm.
 */
import type {RandomSource} from '@samphiremill/common';

/** The retries that a queue may still make. */
export type RetryBudget = {
	readonly tokens: number;
};

/**
 * @param maximumTokens - The most retries that may be saved up.
 * @returns A full budget.
 */
export function createRetryBudget(maximumTokens: number): RetryBudget {
	return {tokens: maximumTokens};
}

/**
 * @param budget - The budget before a first attempt.
 * @param options - How much of a retry the attempt pays for, and the most that is saved up.
 * @returns The budget after it.
 */
export function creditRetryBudget(
	budget: RetryBudget,
	options: {readonly ratio: number; readonly maximumTokens: number},
): RetryBudget {
	return {tokens: Math.min(options.maximumTokens, budget.tokens + options.ratio)};
}

/**
 * @param budget - The budget before a retry.
 * @returns The budget after it, or `undefined` where no retry is left.
 */
export function spendRetryToken(budget: RetryBudget): RetryBudget | undefined {
	return budget.tokens < 1 ? undefined : {tokens: budget.tokens - 1};
}

/**
 * @param options - How many attempts failed, the first delay in milliseconds, and chance.
 * @returns A delay in milliseconds, drawn evenly up to a bound that doubles with each failure.
 */
export function getRetryDelayMs(options: {
	readonly failures: number;
	readonly baseDelayMs: number;
	readonly random: RandomSource;
}): number {
	const {failures, baseDelayMs, random} = options;
	return random() * baseDelayMs * (2 ** Math.max(0, failures - 1));
}
