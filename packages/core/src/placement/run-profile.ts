/**
 * Learns what jobs of a kind really take, as quantiles over what was seen, the newest weighing
 * most. Declared sizes are only a start.
 */

/** A histogram with buckets of equal ratio, whose old counts fade. */
export type QuantileSketch = {
	readonly counts: readonly number[];
	readonly total: number;
};

const bucketsPerDoubling = 4;
const bucketCount = 112;
/** Past this many samples all counts are halved, so that older ones fade. */
const decayThreshold = 256;

/** A sketch that has seen nothing. */
export const emptySketch: QuantileSketch = {counts: [], total: 0};

function getBucket(value: number): number {
	const bucket = Math.ceil(Math.log2(Math.max(value, 1 / 1024) * 1024) * bucketsPerDoubling);
	return Math.min(bucketCount - 1, Math.max(0, bucket));
}

function getUpperEdge(bucket: number): number {
	return (2 ** (bucket / bucketsPerDoubling)) / 1024;
}

const emptyBuckets: readonly number[] = Array.from({length: bucketCount}, () => 0);

function decaySketch({counts, total}: QuantileSketch): QuantileSketch {
	return {counts: counts.map(count => count / 2), total: total / 2};
}

/**
 * @param sketch - What was seen before.
 * @param value - One more sample, from about 0.001 to 200,000 of any unit.
 * @returns The sketch with the sample.
 */
export function addSample(sketch: QuantileSketch, value: number): QuantileSketch {
	const decayed = sketch.total >= decayThreshold ? decaySketch(sketch) : sketch;
	const bucket = getBucket(value);
	const missing = Math.max(0, bucket + 1 - decayed.counts.length);
	const counts = missing === 0 ? decayed.counts : [...decayed.counts, ...emptyBuckets.slice(0, missing)];
	return {counts: counts.with(bucket, (counts[bucket] ?? 0) + 1), total: decayed.total + 1};
}

/**
 * @param sketch - What was seen.
 * @param quantile - From 0 to 1.
 * @returns An upper bound of the quantile, at most a fifth above it; `undefined` before any sample.
 */
export function getQuantile(sketch: QuantileSketch, quantile: number): number | undefined {
	const wanted = sketch.total * quantile;
	let seen = 0;
	for (const [bucket, count] of sketch.counts.entries()) {
		seen += count;
		if (count > 0 && seen >= wanted) {
			return getUpperEdge(bucket);
		}
	}

	return undefined;
}
