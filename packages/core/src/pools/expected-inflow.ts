/**
 * Estimates the inflow that a pool will have once a worker that is ordered now has arrived. Load pattern: a burst rises
 * over seconds, about as long as a worker takes to arrive. Workers that are ordered for the inflow measured so far
 * come in several batches, each of them late.
 */

/** A burst that has started in a pool. */
export type ActiveBurst = {
	/** How long ago it started, in milliseconds. */
	readonly ageMs: number;
	/** The work that was submitted since, in millicore milliseconds. */
	readonly submittedWork: number;
	/** The inflow that a burst of this pool is expected to reach, in millicores. */
	readonly expectedInflowMillicores: number;
};

/** What is known of the peak inflow of a pool and of its like, in millicores. */
export type KnownPeaks = {
	/** The highest remembered inflow of the pool. */
	readonly ownMillicores: number;
	/** The highest remembered inflows of the other pools that had a burst. */
	readonly othersMillicores: readonly number[];
	/** What to expect if no pool had a burst. */
	readonly defaultMillicores: number;
};

/** Returns the inflow that a burst of a pool is expected to reach. Before its first burst, it is expected to be like the other pools. */
export function getExpectedPeak({ownMillicores, othersMillicores, defaultMillicores}: KnownPeaks): number {
	let sum = 0;
	for (const millicores of othersMillicores) {
		sum += millicores;
	}

	return Math.max(ownMillicores, othersMillicores.length === 0 ? defaultMillicores : sum / othersMillicores.length);
}

// The expectation weighs as much as this much time of observed inflow.
const expectationWeightMs = 2000;
// A burst is past its rise after this time, and the measured inflow alone counts.
const riseMs = 4000;

/**
 * Returns the expected inflow in millicores: the measured one, or during the rise of a burst the higher average of the
 * expectation and what was observed since its start.
 *
 * @param measuredMillicores - The recent inflow.
 */
export function getExpectedInflow(measuredMillicores: number, burst: ActiveBurst | undefined): number {
	if (burst === undefined || burst.ageMs > riseMs) {
		return measuredMillicores;
	}

	const {ageMs, submittedWork, expectedInflowMillicores} = burst;
	const average = ((expectedInflowMillicores * expectationWeightMs) + submittedWork) / (expectationWeightMs + ageMs);
	return Math.max(measuredMillicores, average);
}
