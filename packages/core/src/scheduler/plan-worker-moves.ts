/**
 * How many workers each pool is given. Load pattern: the queues ask for several times their mean in
 * turn, each for some seconds, and for hardly anything in between. A worker of a pool costs by the
 * second and one that is switched off does not, so an idle pool keeps what it takes to begin its next
 * burst, and the rest is switched off, or goes where work waits.
 */
import type {PoolId, WorkerId} from '@samphiremill/common';

/** A pool as the plan sees it. */
export type PoolPressure = {
	readonly pool: PoolId;
	/** Its workers are switched off, and cost nothing. */
	readonly isStandby: boolean;
	/** Processors of its workers, those on their way to it included, that lasting tasks leave. */
	readonly millicores: number;
	/** The part of it that is on its way. */
	readonly incomingMillicores: number;
	/** Lasting tasks that no minion of it has a place for, be there processors or not. */
	readonly waitingLastingCount: number;
	/** Processors that tasks use, and that tasks wait for which could start now. */
	readonly runnableMillicores: number;
	/** The work of its jobs that is still to be done, in millicore milliseconds. */
	readonly workLeft: number;
	/** Work that was handed in lately, accepted or not, in millicore milliseconds a millisecond. */
	readonly inflowMillicores: number;
	/** The highest inflow that is remembered. */
	readonly peakInflowMillicores: number;
};

/** A worker as the plan sees it. */
export type MovableWorker = {
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly millicores: number;
	/** What it offers beside its size; a pool keeps one worker of each kind. */
	readonly kind: string;
	/** For how long nothing has run on it, in milliseconds; 0 if something does. */
	readonly idleMs: number;
};

/** A worker and where it goes. */
export type WorkerMove = {
	readonly worker: WorkerId;
	readonly from: PoolId;
	readonly to: PoolId;
};

/** What a plan of moves rests on. */
export type WorkerMoveInput = {
	readonly pools: readonly PoolPressure[];
	/** Workers that are up and may be moved, and those that are switched off. */
	readonly workers: readonly MovableWorker[];
	/** How long a worker takes to change its pool, in milliseconds. */
	readonly moveMs: number;
};

// Work that waits is to be begun within this time after more workers have come.
const clearingMs = 1500;
const idleBeforeSwitchOffMs = 700;
// A pool that gives a worker away keeps this many times what it uses.
const reserveFactor = 1.2;
// Part of its highest inflow that an idle pool is ready for; more workers come while the rest waits.
const readyShareOfPeak = 0.35;
// A pool gets a worker once it misses this part of it.
const leastMissingShare = 0.5;

const getReadyMillicores = ({peakInflowMillicores}: PoolPressure) => peakInflowMillicores * readyShareOfPeak;

/**
 * @param pressure - A pool.
 * @param moveMs - How long a worker takes to come to it, in milliseconds.
 * @returns The processors with which it gets through its work in time, once workers that set out now
 * have come.
 */
export function getWantedMillicores({millicores, runnableMillicores, workLeft, inflowMillicores}: PoolPressure, moveMs: number): number {
	const workLeftThen = Math.max(0, workLeft + ((inflowMillicores - Math.max(0, millicores)) * moveMs));
	return Math.min(Math.max(runnableMillicores, inflowMillicores), inflowMillicores + (workLeftThen / clearingMs));
}

const getKeptMillicores = (pressure: PoolPressure, moveMs: number) => Math.max(
	Math.max(pressure.runnableMillicores, getWantedMillicores(pressure, moveMs)) * reserveFactor,
	getReadyMillicores(pressure),
);

const countKinds = (workers: readonly MovableWorker[]) => {
	const counts = new Map<string, number>();
	for (const {pool, kind} of workers) {
		counts.set(`${pool}/${kind}`, (counts.get(`${pool}/${kind}`) ?? 0) + 1);
	}

	return counts;
};

// What the pools that are on can do without, the longest idle first.
const listSpareWorkers = ({pools, workers, moveMs}: WorkerMoveInput): readonly MovableWorker[] => {
	const kinds = countKinds(workers);
	return pools.filter(({isStandby, waitingLastingCount}) => !isStandby && waitingLastingCount === 0).flatMap(pressure => {
		let spare = pressure.millicores - getKeptMillicores(pressure, moveMs);
		return workers
			.filter(({pool, idleMs}) => pool === pressure.pool && idleMs > 0)
			.toSorted((left, right) => right.idleMs - left.idleMs)
			.filter(({pool, kind, millicores}) => {
				const key = `${pool}/${kind}`;
				const left = kinds.get(key) ?? 0;
				if (millicores > spare || left <= 1) {
					return false;
				}

				spare -= millicores;
				kinds.set(key, left - 1);
				return true;
			});
	});
};

const listShortages = ({pools, moveMs}: WorkerMoveInput) => pools
	.filter(({isStandby}) => !isStandby)
	.map(pressure => ({
		to: pressure.pool,
		missing: Math.max(getWantedMillicores(pressure, moveMs), getReadyMillicores(pressure)) - pressure.millicores,
		// A step may ask for a minion without another task of it.
		isOneNeeded: pressure.waitingLastingCount > 0 && pressure.incomingMillicores === 0,
	}))
	.filter(({missing, isOneNeeded}) => missing > 0 || isOneNeeded)
	.toSorted((left, right) => right.missing - left.missing);

/**
 * Plans moves: to the pools that are short, the shortest first, from the standby pool and from pools
 * with idle workers; and to the standby pool, what no pool needs.
 *
 * @param input - The pools and the workers.
 * @returns The moves to order now.
 */
export function planWorkerMoves(input: WorkerMoveInput): readonly WorkerMove[] {
	const {pools, workers} = input;
	const standby = pools.find(({isStandby}) => isStandby);
	const spare = listSpareWorkers(input);
	const sources = [...workers.filter(({pool}) => pool === standby?.pool), ...spare];
	const moves: WorkerMove[] = [];
	for (const {to, missing, isOneNeeded} of listShortages(input)) {
		let left = missing;
		let isFirst = isOneNeeded;
		for (let source = sources[0]; source !== undefined && (isFirst || left > source.millicores * leastMissingShare); source = sources[0]) {
			isFirst = false;
			sources.shift();
			left -= source.millicores;
			moves.push({worker: source.worker, from: source.pool, to});
		}
	}

	const switchedOff = sources.filter(({pool, idleMs}) => pool !== standby?.pool && idleMs >= idleBeforeSwitchOffMs);
	return [...moves, ...switchedOff.flatMap(({worker, pool}) => standby === undefined ? [] : [{worker, from: pool, to: standby.pool}])];
}
