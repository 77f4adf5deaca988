import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Returns a random number in [0, 1). It is passed to every function that needs randomness. */
export type RandomSource = () => number;

const resolution = 2 ** 31;

/**
 * Creates a seeded random source, for tests, benchmarks and reproducible decisions.
 *
 * @param seed - Any integer. The same seed gives the same sequence of numbers.
 */
export function createSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}
