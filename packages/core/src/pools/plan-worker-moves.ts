/**
 * Plans moves of workers between pools. Load pattern: the queues take turns in asking for several times their mean,
 * each for a few seconds, and for hardly anything in between. A worker of a pool costs by the second, and a worker that
 * is switched off costs nothing. So an idle pool keeps the workers that it needs at the start of its next burst; the
 * others are switched off or move to pools in which work waits.
 */
import type {PoolId, WorkerId} from '@samphiremill/common';

/** The capacity of a pool and the demand on it. It is logged as a whole, so its field names are keys of log lines. */
export type PoolBalance = {
	readonly pool: PoolId;
	/** Whether the pool's workers are switched off and cost nothing. */
	readonly isStandby: boolean;
	/** Processor capacity of its workers, including workers on their way to it, that long-running tasks leave. */
	readonly millicores: number;
	/** The part of `millicores` that is on its way. */
	readonly incomingMillicores: number;
	/** Long-running tasks that no minion of the pool can take, for lack of capacity or another reason. */
	readonly waitingLastingCount: number;
	/** Processor capacity that tasks use, or wait for and could use now. */
	readonly runnableMillicores: number;
	/** The remaining work of its jobs, in millicore milliseconds. */
	readonly workLeft: number;
	/** The recent rate of submitted work, accepted or not, in millicore milliseconds per millisecond. */
	readonly inflowMillicores: number;
	/** The highest inflow in the observed period. */
	readonly peakInflowMillicores: number;
	/** The confidence that a burst is about to start in this pool, from 0 to 1. */
	readonly readiness: number;
};

/** A worker that may be moved. */
export type MovableWorker = {
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly millicores: number;
	/** The properties of the worker other than its size, as a key. A pool keeps one worker of each kind. */
	readonly kind: string;
	/** How long the worker has been idle, in milliseconds; 0 if a task runs on it. */
	readonly idleMs: number;
};

/** A move of a worker to another pool. */
export type WorkerMove = {
	readonly worker: WorkerId;
	readonly from: PoolId;
	readonly to: PoolId;
};

/** The input of a plan of worker moves. */
export type WorkerMoveInput = {
	readonly pools: readonly PoolBalance[];
	/** Workers that are up and may be moved, and workers that are switched off. */
	readonly workers: readonly MovableWorker[];
	/** How long a move to another pool takes, in milliseconds. */
	readonly moveMs: number;
};

// The backlog should be worked off within this time after additional workers have arrived.
const backlogClearingMs = 1500;
const idleBeforeSwitchOffMs = 700;
// A pool that gives workers away keeps this many times the capacity that it needs.
const reserveFactor = 1.2;
// The share of its peak inflow for which an idle pool keeps capacity. More workers arrive while the rest waits.
const readyShareOfPeak = 0.35;
// The share for which an idle pool keeps capacity while work waits in other pools.
const minimumShareOfPeak = 0.15;
// A pool gets a worker only if it lacks more than this share of the worker's capacity.
const minimumMissingShare = 0.5;

/**
 * Returns the processor capacity that a pool needs to work off its backlog in time, once workers that start to move
 * now have arrived.
 *
 * @param moveMs - How long a move to the pool takes, in milliseconds.
 */
export function getRequiredMillicores({millicores, runnableMillicores, workLeft, inflowMillicores}: PoolBalance, moveMs: number): number {
	const workLeftOnArrival = Math.max(0, workLeft + ((inflowMillicores - Math.max(0, millicores)) * moveMs));
	return Math.min(Math.max(runnableMillicores, inflowMillicores), inflowMillicores + (workLeftOnArrival / backlogClearingMs));
}

// An idle pool keeps capacity for the given share of its peak inflow, or for the whole peak, weighted by the confidence,
// when a burst is about to start.
const getReadyMillicores = ({peakInflowMillicores, readiness}: PoolBalance, shareOfPeak: number) => peakInflowMillicores * Math.max(shareOfPeak, readiness);

const getRetainedMillicores = (balance: PoolBalance, {moveMs, shareOfPeak}: {readonly moveMs: number; readonly shareOfPeak: number}) => Math.max(
	Math.max(balance.runnableMillicores, getRequiredMillicores(balance, moveMs)) * reserveFactor,
	getReadyMillicores(balance, shareOfPeak),
);

const countKinds = (workers: readonly MovableWorker[]) => {
	const counts = new Map<string, number>();
	for (const {pool, kind} of workers) {
		counts.set(`${pool}/${kind}`, (counts.get(`${pool}/${kind}`) ?? 0) + 1);
	}

	return counts;
};

// Lists the workers that pools other than the standby pool can spare, the longest idle first.
const listSpareWorkers = ({pools, workers, moveMs}: WorkerMoveInput, shareOfPeak: number): readonly MovableWorker[] => {
	const kinds = countKinds(workers);
	return pools.filter(({isStandby, waitingLastingCount}) => !isStandby && waitingLastingCount === 0).flatMap(balance => {
		let spare = balance.millicores - getRetainedMillicores(balance, {moveMs, shareOfPeak});
		return workers
			.filter(({pool, idleMs}) => pool === balance.pool && idleMs > 0)
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

type Shortage = {
	readonly to: PoolId;
	/** Processor capacity that the pool lacks. */
	readonly missingMillicores: number;
	/** Processor capacity that the pool needs in total. */
	readonly requiredMillicores: number;
	/** Whether the pool gets at least one worker, however little capacity it lacks. */
	readonly isOneWorkerNeeded: boolean;
};

const listShortages = (pools: readonly PoolBalance[], getShortage: (balance: PoolBalance) => Omit<Shortage, 'to'>): readonly Shortage[] => pools
	.filter(({isStandby}) => !isStandby)
	.map(balance => ({to: balance.pool, ...getShortage(balance)}))
	.filter(({missingMillicores, isOneWorkerNeeded}) => missingMillicores > 0 || isOneWorkerNeeded);

type OpenShortage = Shortage & {
	readonly remainingMillicores: number;
	readonly assignedCount: number;
};

const isFilled = ({remainingMillicores, isOneWorkerNeeded, assignedCount}: OpenShortage, millicores: number) =>
	remainingMillicores <= millicores * minimumMissingShare && !(isOneWorkerNeeded && assignedCount === 0);

const getRemainingShare = ({remainingMillicores, requiredMillicores}: OpenShortage) => remainingMillicores / Math.max(1, requiredMillicores);

// Each worker goes to the pool that lacks the largest share of the capacity that it needs, so that pools with a
// shortage at the same time are treated equally.
const fillShortages = (shortages: readonly Shortage[], sources: readonly MovableWorker[]): readonly WorkerMove[] => {
	let open: readonly OpenShortage[] = shortages.map(shortage => ({...shortage, remainingMillicores: shortage.missingMillicores, assignedCount: 0}));
	const moves: WorkerMove[] = [];
	for (const {worker, pool: from, millicores} of sources) {
		open = open.filter(shortage => !isFilled(shortage, millicores));
		const [next, ...others] = open.toSorted((left, right) => Number(right.isOneWorkerNeeded && right.assignedCount === 0) - Number(left.isOneWorkerNeeded && left.assignedCount === 0)
			|| getRemainingShare(right) - getRemainingShare(left));
		if (next === undefined) {
			break;
		}

		moves.push({worker, from, to: next.to});
		open = [{...next, remainingMillicores: next.remainingMillicores - millicores, assignedCount: next.assignedCount + 1}, ...others];
	}

	return moves;
};

// Returns the input as it will be once the given moves are under way.
const applyMoves = (input: WorkerMoveInput, moves: readonly WorkerMove[]): WorkerMoveInput => {
	const workersById = new Map(input.workers.map(worker => [worker.worker, worker]));
	const sumOf = (moved: readonly WorkerMove[]) => moved.reduce((sum, {worker}) => sum + (workersById.get(worker)?.millicores ?? 0), 0);
	const moved = new Set(moves.map(({worker}) => worker));
	return {
		...input,
		workers: input.workers.filter(({worker}) => !moved.has(worker)),
		pools: input.pools.map(balance => {
			const coming = sumOf(moves.filter(({to}) => to === balance.pool));
			const leaving = sumOf(moves.filter(({from}) => from === balance.pool));
			return {...balance, millicores: balance.millicores + coming - leaving, incomingMillicores: balance.incomingMillicores + coming};
		}),
	};
};

/**
 * Plans the moves to order now, in three stages:
 * 1. from the standby pool and from pools with idle workers to pools with a shortage, in proportion to it;
 * 2. from the same sources to pools that are not prepared for their next burst;
 * 3. of workers that no pool needs to the standby pool.
 */
export function planWorkerMoves(input: WorkerMoveInput): readonly WorkerMove[] {
	const {moveMs} = input;
	const standby = input.pools.find(({isStandby}) => isStandby);
	const listSwitchedOff = (now: WorkerMoveInput) => now.workers.filter(({pool}) => pool === standby?.pool);

	const urgent = fillShortages(listShortages(input.pools, balance => ({
		missingMillicores: getRequiredMillicores(balance, moveMs) - balance.millicores,
		requiredMillicores: getRequiredMillicores(balance, moveMs),
		// A step may need a minion that runs no other task of the step, so free capacity alone does not help.
		isOneWorkerNeeded: balance.waitingLastingCount > 0 && balance.incomingMillicores === 0,
	})), [...listSwitchedOff(input), ...listSpareWorkers(input, minimumShareOfPeak)]);

	const afterUrgent = applyMoves(input, urgent);
	const preparations = fillShortages(listShortages(afterUrgent.pools, balance => ({
		missingMillicores: getReadyMillicores(balance, readyShareOfPeak) - balance.millicores,
		requiredMillicores: getReadyMillicores(balance, readyShareOfPeak),
		isOneWorkerNeeded: false,
	})), [...listSwitchedOff(afterUrgent), ...listSpareWorkers(afterUrgent, readyShareOfPeak)]);

	const switchedOff = listSpareWorkers(applyMoves(afterUrgent, preparations), readyShareOfPeak).filter(({idleMs}) => idleMs >= idleBeforeSwitchOffMs);
	const returns = standby === undefined ? [] : switchedOff.map(({worker, pool}) => ({worker, from: pool, to: standby.pool}));
	return [...urgent, ...preparations, ...returns];
}
