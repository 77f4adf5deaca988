/**
 * How much work callers hand in, by pool, over the last moments.
 */
import type {JobId, PoolId, TimerService} from '@samphiremill/common';

/** Measures the work that is handed in. */
export type DemandMeter = {
	/** Notes a job; one that is handed in again counts once. */
	readonly note: (pool: PoolId, job: {readonly id: JobId; readonly work: number}) => void;
	/** @returns The work a millisecond, in millicores. */
	readonly getRate: (pool: PoolId) => number;
};

type Arrival = {
	readonly id: JobId;
	readonly atMs: number;
	readonly work: number;
};

const windowMs = 1000;
// The beginning of a burst shows sooner in a shorter window, if enough jobs fall into it.
const shortWindowMs = 400;
const leastBurstArrivals = 4;

/**
 * @param timers - The time.
 * @returns The meter.
 */
export function createDemandMeter(timers: TimerService): DemandMeter {
	const arrivals = new Map<PoolId, readonly Arrival[]>();

	const getRate = (recent: readonly Arrival[], lengthMs: number) => recent
		.filter(({atMs}) => timers.getNow() - atMs < lengthMs)
		.reduce((sum, {work}) => sum + work, 0) / lengthMs;

	const getRecent = (pool: PoolId) => (arrivals.get(pool) ?? []).filter(({atMs}) => timers.getNow() - atMs < windowMs);

	return {
		note(pool, {id, work}) {
			const recent = getRecent(pool);
			arrivals.set(pool, recent.some(arrival => arrival.id === id) ? recent : [...recent, {id, atMs: timers.getNow(), work}]);
		},
		getRate(pool) {
			const recent = getRecent(pool);
			const isBurst = recent.filter(({atMs}) => timers.getNow() - atMs < shortWindowMs).length >= leastBurstArrivals;
			return Math.max(getRate(recent, windowMs), isBurst ? getRate(recent, shortWindowMs) : 0);
		},
	};
}
