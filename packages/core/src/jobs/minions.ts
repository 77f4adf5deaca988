/**
 * Minions that this node may use, and which of them can take one more job.
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
 * Stores a changed minion, and adds it to or removes it from the ready minions of its pool according
 * to its use and health.
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

/** Removes a minion that is no longer known. The jobs that run on it still count against their teams. */
export function removeMinion(state: JobsState, minion: MinionState): JobsState {
	const {info} = minion;
	const pool = setReady(adjustPoolCapacity(getPool(state, info.pool), info, -1), info.minion, false);
	return changeState(state, {
		minions: state.minions.delete(info.minion),
		pools: state.pools.set(info.pool, pool),
	});
}

/** Lists the reservations of this node on one incarnation of a minion. */
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

/** Adds or replaces a minion. The resources that this node already uses on the same incarnation stay in use. */
export function addMinion(state: JobsState, info: PlaceableMinion): JobsState {
	const before = state.minions.get(info.minion);
	const withoutMinion = before === undefined ? state : removeMinion(state, before);
	const use = before?.info.incarnation === info.incarnation ? before : sumReservations(listReservations(state, info));
	const pool = adjustPoolCapacity(getPool(withoutMinion, info.pool), info, 1);
	const withCapacity = changeState(withoutMinion, {pools: withoutMinion.pools.set(info.pool, pool)});
	return putMinion(withCapacity, {...use, info, isReady: false});
}

/** Stores the changed health of a worker and updates which of its minions are ready. */
export function putWorkerHealth(state: JobsState, worker: WorkerId, health: WorkerHealth): JobsState {
	const isHealthy = health.type === 'healthy' && health.failuresInRow === 0;
	const workers = isHealthy ? state.workers.delete(worker) : state.workers.set(worker, health);
	const before = getWorkerHealth(state, worker);
	const changed = changeState(state, {workers});
	if (before.type === health.type) {
		return changed;
	}

	// Health changes are rare, so a scan of all minions is cheaper than an index.
	let next: JobsState = changed;
	for (const minion of state.minions.filter(({info}) => info.worker === worker).values()) {
		next = putMinion(next, minion);
	}

	return next;
}

/** Lists the distinct sizes of the workers of a pool. */
export function listWorkerSizes(state: JobsState, pool: PoolId): PoolState['workerSizes'] {
	const sizes = new Map<string, {readonly cores: number; readonly memoryMb: number}>();
	for (const {info} of state.minions.values()) {
		if (info.pool === pool) {
			sizes.set(`${info.cores}/${info.memoryMb}`, {cores: info.cores, memoryMb: info.memoryMb});
		}
	}

	return [...sizes.values()];
}

/** Lists the pools that the minions of a worker serve. */
export function listWorkerPools(state: JobsState, worker: WorkerId): readonly PoolId[] {
	const own = [...state.minions.values()].filter(({info}) => info.worker === worker);
	return [...new Set(own.map(({info}) => info.pool))];
}
