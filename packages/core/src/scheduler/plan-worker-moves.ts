/**
 * Which workers change their pool. Load pattern: the queues ask for several times their mean in turn,
 * each for some seconds, so that one pool is short while the others and the standby pool have more
 * than they use.
 */
import type {PoolId, WorkerId} from '@samphiremill/common';

/** A pool as the plan sees it. */
export type PoolPressure = {
	readonly pool: PoolId;
	/** Its workers are switched off, and cost nothing. */
	readonly isStandby: boolean;
	/** Processors of its workers, those on their way to it included, that lasting tasks leave. */
	readonly millicores: number;
	/** Processors that tasks use, and that tasks wait for which could start now. */
	readonly runnableMillicores: number;
	/** Work that was handed in lately, accepted or not, in millicore milliseconds a millisecond. */
	readonly inflowMillicores: number;
};

/** A worker as the plan sees it. */
export type MovableWorker = {
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly millicores: number;
	/** For how long nothing has run on it, in milliseconds; 0 if something does. */
	readonly idleMs: number;
	/** Belongs to the standby pool, and serves another for a while. */
	readonly isLoaned: boolean;
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
};

// A pool is short when it wants this much more than it has.
const shortageFactor = 1.1;
const idleBeforeReturnMs = 1000;
// A pool that gives a worker back keeps this many times what it wants.
const reserveFactor = 1.3;

const getWantedMillicores = ({runnableMillicores, inflowMillicores}: PoolPressure) => Math.max(runnableMillicores, inflowMillicores);

const getWorkerMillicores = (workers: readonly MovableWorker[]) => workers.reduce((sum, {millicores}) => sum + millicores, 0) / Math.max(1, workers.length);

const planLoans = (shortage: PoolPressure, sources: readonly MovableWorker[]): readonly WorkerMove[] => {
	const missing = getWantedMillicores(shortage) - shortage.millicores;
	const count = Math.ceil(missing / Math.max(1, getWorkerMillicores(sources)));
	return sources.slice(0, count).map(({worker, pool}) => ({worker, from: pool, to: shortage.pool}));
};

const planReturns = ({pools, workers}: WorkerMoveInput, standby: PoolPressure): readonly WorkerMove[] => pools
	.filter(({isStandby}) => !isStandby)
	.flatMap(demand => {
		let spare = demand.millicores - (getWantedMillicores(demand) * reserveFactor);
		const idle = workers.filter(({pool, idleMs, isLoaned}) => pool === demand.pool && isLoaned && idleMs >= idleBeforeReturnMs);
		return idle.flatMap(({worker, pool, millicores}) => {
			spare -= millicores;
			return spare > 0 ? [{worker, from: pool, to: standby.pool}] : [];
		});
	});

/**
 * Plans moves: to the pool that is shortest of processors, from the standby pool; and back, what has
 * been idle for a while.
 *
 * @param input - The pools and the workers.
 * @returns The moves to order now.
 */
export function planWorkerMoves(input: WorkerMoveInput): readonly WorkerMove[] {
	const {pools, workers} = input;
	const standby = pools.find(({isStandby}) => isStandby);
	if (standby === undefined) {
		return [];
	}

	const shortages = pools
		.filter(demand => !demand.isStandby && getWantedMillicores(demand) > demand.millicores * shortageFactor)
		.toSorted((left, right) => (getWantedMillicores(right) - right.millicores) - (getWantedMillicores(left) - left.millicores));
	const [worst] = shortages;
	const sources = workers.filter(({pool}) => pool === standby.pool);
	const loans = worst === undefined ? [] : planLoans(worst, sources);
	return [...loans, ...planReturns(input, standby)];
}
