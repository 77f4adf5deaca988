/**
 * Estimates the rate at which work is submitted to a pool. Load pattern: a pool is nearly idle, then its queues ask for
 * more than it can run, with jobs that differ a lot in work.
 */

/** A submitted job. */
export type Arrival = {
	/** When it was submitted, as monotonic time in milliseconds. */
	readonly atMs: number;
	/** Its work, in millicore milliseconds. */
	readonly work: number;
};

/** How long an arrival counts towards the inflow. */
export const inflowWindowMs = 3000;

// A rate is taken over the shortest window that holds this many jobs, since single jobs differ a lot in work.
const jobsPerWindow = 8;
const minimumWindowMs = 400;
const lowerBoundWindowsMs = [300, 600, 1000, 1500, 2000, inflowWindowMs];

const listRecent = (arrivals: readonly Arrival[], nowMs: number, windowMs: number) => arrivals.filter(({atMs}) => nowMs - atMs <= windowMs);

const sumWork = (arrivals: readonly Arrival[]) => arrivals.reduce((sum, {work}) => sum + work, 0);

/**
 * Returns the recent rate of submitted work, in millicores.
 *
 * @param arrivals - The latest arrivals, oldest first.
 */
export function getInflow(arrivals: readonly Arrival[], nowMs: number): number {
	const recent = arrivals.filter(({atMs}) => nowMs - atMs < inflowWindowMs);
	const earliest = recent.at(-jobsPerWindow);
	const windowMs = earliest === undefined ? inflowWindowMs : Math.max(minimumWindowMs, nowMs - earliest.atMs);
	return sumWork(listRecent(recent, nowMs, windowMs)) / windowMs;
}

/**
 * Returns a rate, in millicores, that the submitted work exceeds with some confidence: the highest rate over any recent
 * window in which the number of jobs is reduced by its standard deviation. It shows the start of a burst after a few jobs.
 *
 * @param arrivals - The latest arrivals, oldest first.
 */
export function getInflowLowerBound(arrivals: readonly Arrival[], nowMs: number): number {
	const bounds = lowerBoundWindowsMs.map(windowMs => {
		const recent = listRecent(arrivals, nowMs, windowMs);
		const share = recent.length === 0 ? 0 : 1 - (1 / Math.sqrt(recent.length));
		return sumWork(recent) * share / windowMs;
	});
	return Math.max(...bounds);
}
