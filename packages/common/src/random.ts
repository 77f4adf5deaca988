import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** A source of numbers in [0, 1), passed to whatever needs chance. */
export type RandomSource = () => number;

const resolution = 2 ** 31;

/**
 * Creates a seeded source, for tests, benches and repeatable decisions.
 *
 * @param seed - Any integer.
 * @returns A source that gives the same numbers for the same seed.
 */
export function createSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}
