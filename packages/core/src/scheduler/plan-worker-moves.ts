/**
 * How many workers each pool is given. Load pattern: the queues ask for several times their mean in
 * turn, each for some seconds, and for hardly anything in between. A worker of a pool costs by the
 * second and one that is switched off does not, so an idle pool keeps what it takes to begin its next
 * burst, and the rest is switched off, or goes where work waits.
 */
import type {PoolId, WorkerId} from '@samphiremill/common';

/** A pool as the plan sees it. */
export type PoolBalance = {
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
	/** How surely a burst of it is about to begin, from 0 to 1. */
	readonly burstConfidence: number;
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
	readonly pools: readonly PoolBalance[];
	/** Workers that are up and may be moved, and those that are switched off. */
	readonly workers: readonly MovableWorker[];
	/** How long a worker takes to change its pool, in milliseconds. */
	readonly moveMs: number;
};

// Work that waits is to be begun within this time after more workers have come.
const backlogClearingMs = 1500;
const idleBeforeSwitchOffMs = 700;
// A pool that gives a worker away keeps this many times what it uses.
const reserveFactor = 1.2;
// Part of its highest inflow that an idle pool is ready for; more workers come while the rest waits.
const readyShareOfPeak = 0.35;
// What an idle pool keeps of it while work waits elsewhere.
const minimumShareOfPeak = 0.15;
// A pool gets a worker once it misses this part of it.
const minimumMissingShare = 0.5;

/**
 * @param pressure - A pool.
 * @param moveMs - How long a worker takes to come to it, in milliseconds.
 * @returns The processors with which it gets through its work in time, once workers that set out now
 * have come.
 */
export function getRequiredMillicores({millicores, runnableMillicores, workLeft, inflowMillicores}: PoolBalance, moveMs: number): number {
	const workLeftThen = Math.max(0, workLeft + ((inflowMillicores - Math.max(0, millicores)) * moveMs));
	return Math.min(Math.max(runnableMillicores, inflowMillicores), inflowMillicores + (workLeftThen / backlogClearingMs));
}

// A pool is ready for the whole of a burst that is about to begin.
const getReadyMillicores = ({peakInflowMillicores, burstConfidence: readiness}: PoolBalance, shareOfPeak: number) => peakInflowMillicores * Math.max(shareOfPeak, readiness);

const getRetainedMillicores = (pressure: PoolBalance, {moveMs, shareOfPeak}: {readonly moveMs: number; readonly shareOfPeak: number}) => Math.max(
	Math.max(pressure.runnableMillicores, getRequiredMillicores(pressure, moveMs)) * reserveFactor,
	getReadyMillicores(pressure, shareOfPeak),
);

const countKinds = (workers: readonly MovableWorker[]) => {
	const counts = new Map<string, number>();
	for (const {pool, kind} of workers) {
		counts.set(`${pool}/${kind}`, (counts.get(`${pool}/${kind}`) ?? 0) + 1);
	}

	return counts;
};

// What the pools that are on can do without, the longest idle first.
const listSpareWorkers = ({pools, workers, moveMs}: WorkerMoveInput, shareOfPeak: number): readonly MovableWorker[] => {
	const kinds = countKinds(workers);
	return pools.filter(({isStandby, waitingLastingCount: waitingLastingCount}) => !isStandby && waitingLastingCount === 0).flatMap(pressure => {
		let spare = pressure.millicores - getRetainedMillicores(pressure, {moveMs, shareOfPeak});
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

type Shortage = {
	readonly to: PoolId;
	/** Processors that the pool lacks. */
	readonly missing: number;
	/** Processors that it is to have in all. */
	readonly wanted: number;
	/** It gets a worker, however little it lacks. */
	readonly isOneNeeded: boolean;
};

const listShortages = (pools: readonly PoolBalance[], getShortage: (pressure: PoolBalance) => Omit<Shortage, 'to'>): readonly Shortage[] => pools
	.filter(({isStandby}) => !isStandby)
	.map(pressure => ({to: pressure.pool, ...getShortage(pressure)}))
	.filter(({missing, isOneNeeded}) => missing > 0 || isOneNeeded);

type OpenShortage = Shortage & {
	readonly lacking: number;
	readonly count: number;
};

const isFilled = ({lacking, isOneNeeded, count}: OpenShortage, millicores: number) =>
	lacking <= millicores * minimumMissingShare && !(isOneNeeded && count === 0);

const getRemainingShare = ({lacking, wanted}: OpenShortage) => lacking / Math.max(1, wanted);

// Each worker goes to the pool that lacks the largest part of what it wants, so that pools that are short
// at the same time are served alike.
const fillShortages = (shortages: readonly Shortage[], sources: readonly MovableWorker[]): readonly WorkerMove[] => {
	let open: readonly OpenShortage[] = shortages.map(shortage => ({...shortage, lacking: shortage.missing, count: 0}));
	const moves: WorkerMove[] = [];
	for (const {worker, pool: from, millicores} of sources) {
		open = open.filter(shortage => !isFilled(shortage, millicores));
		const [next, ...others] = open.toSorted((left, right) => Number(right.isOneNeeded && right.count === 0) - Number(left.isOneNeeded && left.count === 0)
			|| getRemainingShare(right) - getRemainingShare(left));
		if (next === undefined) {
			break;
		}

		moves.push({worker, from, to: next.to});
		open = [{...next, lacking: next.lacking - millicores, count: next.count + 1}, ...others];
	}

	return moves;
};

// The input as it stands once moves are under way.
const applyMoves = (input: WorkerMoveInput, moves: readonly WorkerMove[]): WorkerMoveInput => {
	const workersById = new Map(input.workers.map(worker => [worker.worker, worker]));
	const sumOf = (moved: readonly WorkerMove[]) => moved.reduce((sum, {worker}) => sum + (workersById.get(worker)?.millicores ?? 0), 0);
	const moved = new Set(moves.map(({worker}) => worker));
	return {
		...input,
		workers: input.workers.filter(({worker}) => !moved.has(worker)),
		pools: input.pools.map(pressure => {
			const coming = sumOf(moves.filter(({to}) => to === pressure.pool));
			const leaving = sumOf(moves.filter(({from}) => from === pressure.pool));
			return {...pressure, millicores: pressure.millicores + coming - leaving, incomingMillicores: pressure.incomingMillicores + coming};
		}),
	};
};

/**
 * Plans moves: to the pools that are short, each in proportion, from the standby pool and from pools
 * with idle workers; then to pools that are not ready for a burst; and to the standby pool, what no
 * pool needs.
 *
 * @param input - The pools and the workers.
 * @returns The moves to order now.
 */
export function planWorkerMoves(input: WorkerMoveInput): readonly WorkerMove[] {
	const {moveMs} = input;
	const standby = input.pools.find(({isStandby}) => isStandby);
	const listSwitchedOff = (now: WorkerMoveInput) => now.workers.filter(({pool}) => pool === standby?.pool);

	const urgent = fillShortages(listShortages(input.pools, pressure => ({
		missing: getRequiredMillicores(pressure, moveMs) - pressure.millicores,
		wanted: getRequiredMillicores(pressure, moveMs),
		// A step may ask for a minion without another task of it.
		isOneNeeded: pressure.waitingLastingCount > 0 && pressure.incomingMillicores === 0,
	})), [...listSwitchedOff(input), ...listSpareWorkers(input, minimumShareOfPeak)]);

	const served = applyMoves(input, urgent);
	const precautions = fillShortages(listShortages(served.pools, pressure => ({
		missing: getReadyMillicores(pressure, readyShareOfPeak) - pressure.millicores,
		wanted: getReadyMillicores(pressure, readyShareOfPeak),
		isOneNeeded: false,
	})), [...listSwitchedOff(served), ...listSpareWorkers(served, readyShareOfPeak)]);

	const switchedOff = listSpareWorkers(applyMoves(served, precautions), readyShareOfPeak).filter(({idleMs}) => idleMs >= idleBeforeSwitchOffMs);
	const returns = standby === undefined ? [] : switchedOff.map(({worker, pool}) => ({worker, from: pool, to: standby.pool}));
	return [...urgent, ...precautions, ...returns];
}
