/**
 * The minions that this node may use, and which of them can take one more job.
 */
import type {MinionId, PoolId, WorkerId} from '@samphiremill/common';
import {insertItem, removeItem} from '../collections/sorted-set.js';
import {canTakeJob, healthyWorker, type WorkerHealth} from '../placement/index.js';
import {changeMinion, changePool, changeState} from './change-state.js';
import {getPool} from './pool-teams.js';
import type {
	JobsState, MinionState, PoolState, Reservation,
} from './state.js';
import type {PlaceableMinion} from './types.js';

/**
 * @param state - The jobs.
 * @param worker - The worker.
 * @returns How it fares.
 */
export function getWorkerHealth(state: JobsState, worker: WorkerId): WorkerHealth {
	return state.workers.get(worker, healthyWorker);
}

function isReady(state: JobsState, {info, usedSlots, usedConnections}: MinionState): boolean {
	return info.isAcceptingWork
		&& usedSlots < info.heldSlots
		&& usedConnections < info.connections
		&& canTakeJob(getWorkerHealth(state, info.worker), usedSlots);
}

function setReady(pool: PoolState, minion: MinionId, isNowReady: boolean): PoolState {
	const ready = isNowReady ? insertItem(pool.ready, minion) : removeItem(pool.ready, minion);
	return changePool(pool, {ready});
}

/**
 * Puts a minion into its pool's ready minions, or takes it out, as its use and health demand.
 *
 * @param state - The jobs before.
 * @param changed - The minion as it is now.
 * @returns The jobs after.
 */
export function putMinion(state: JobsState, changed: MinionState): JobsState {
	const {minion, pool} = changed.info;
	const isNowReady = isReady(state, changed);
	if (isNowReady === changed.isReady) {
		return changeState(state, {minions: state.minions.set(minion, changed)});
	}

	const minions = state.minions.set(minion, changeMinion(changed, {isReady: isNowReady}));

	const pools = state.pools.set(pool, setReady(getPool(state, pool), minion, isNowReady));
	return changeState(state, {minions, pools});
}

function adjustPoolCapacity(pool: PoolState, {heldSlots, cores, memoryMb}: PlaceableMinion, sign: 1 | -1): PoolState {
	return changePool(pool, {
		heldSlots: pool.heldSlots + (sign * heldSlots),
		cores: pool.cores + (sign * cores),
		memoryMb: pool.memoryMb + (sign * memoryMb),
	});
}

/**
 * @param state - The jobs before.
 * @param minion - A minion that is no longer known.
 * @returns The jobs without it. What runs on it stays charged to its team.
 */
export function removeMinion(state: JobsState, minion: MinionState): JobsState {
	const {info} = minion;
	const pool = setReady(adjustPoolCapacity(getPool(state, info.pool), info, -1), info.minion, false);
	return changeState(state, {
		minions: state.minions.delete(info.minion),
		pools: state.pools.set(info.pool, pool),
	});
}

/**
 * @param state - The jobs.
 * @param options - A minion and one of its incarnations.
 * @returns The attempts that this node has on it.
 */
export function listReservations(
	state: JobsState,
	options: {readonly minion: MinionId; readonly incarnation: number},
): readonly Reservation[] {
	return [...state.reservations.values()]
		.filter(({minion, incarnation}) => minion === options.minion && incarnation === options.incarnation);
}

type MinionUse = Pick<MinionState, 'usedSlots' | 'usedConnections' | 'usedCores' | 'usedMemoryMb'>;

function sumReservations(reservations: readonly Reservation[]): MinionUse {
	return {
		usedSlots: reservations.length,
		usedConnections: reservations.filter(({hasConnection}) => hasConnection).length,
		usedCores: reservations.reduce((sum, {cores}) => sum + cores, 0),
		usedMemoryMb: reservations.reduce((sum, {memoryMb}) => sum + memoryMb, 0),
	};
}

/**
 * @param state - The jobs before.
 * @param info - A minion as it is now known.
 * @returns The jobs with it. What this incarnation already runs here stays in use.
 */
export function addMinion(state: JobsState, info: PlaceableMinion): JobsState {
	const before = state.minions.get(info.minion);
	const withoutMinion = before === undefined ? state : removeMinion(state, before);
	const use = before?.info.incarnation === info.incarnation ? before : sumReservations(listReservations(state, info));
	const pool = adjustPoolCapacity(getPool(withoutMinion, info.pool), info, 1);
	const withCapacity = changeState(withoutMinion, {pools: withoutMinion.pools.set(info.pool, pool)});
	return putMinion(withCapacity, {...use, info, isReady: false});
}

/**
 * @param state - The jobs before.
 * @param worker - A worker whose health has changed.
 * @param health - How it fares now.
 * @returns The jobs after, with the worker's minions ready or not.
 */
export function putWorkerHealth(state: JobsState, worker: WorkerId, health: WorkerHealth): JobsState {
	const isHealthy = health.type === 'healthy' && health.failuresInRow === 0;
	const workers = isHealthy ? state.workers.delete(worker) : state.workers.set(worker, health);
	const before = getWorkerHealth(state, worker);
	const changed = changeState(state, {workers});
	if (before.type === health.type) {
		return changed;
	}

	// Health changes are rare, so that looking through the minions is cheaper than an index.
	let next: JobsState = changed;
	for (const minion of state.minions.filter(({info}) => info.worker === worker).values()) {
		next = putMinion(next, minion);
	}

	return next;
}

/**
 * @param state - The jobs.
 * @param pool - The pool.
 * @returns The distinct sizes of the pool's workers.
 */
export function listWorkerSizes(state: JobsState, pool: PoolId): PoolState['workerSizes'] {
	const sizes = new Map<string, {readonly cores: number; readonly memoryMb: number}>();
	for (const {info} of state.minions.values()) {
		if (info.pool === pool) {
			sizes.set(`${info.cores}/${info.memoryMb}`, {cores: info.cores, memoryMb: info.memoryMb});
		}
	}

	return [...sizes.values()];
}

/**
 * @param state - The jobs.
 * @param worker - The worker.
 * @returns The pools that its minions serve.
 */
export function listWorkerPools(state: JobsState, worker: WorkerId): readonly PoolId[] {
	const own = [...state.minions.values()].filter(({info}) => info.worker === worker);
	return [...new Set(own.map(({info}) => info.pool))];
}
