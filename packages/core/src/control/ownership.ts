/**
 * Which pool owns a host when its record comes and goes. Moves between pools are a part of their own.
 */
import type {WorkerId} from '@samphiremill/common';
import {maximumRetiredWorkers} from './constants.js';
import type {ControlState, HostOwnership, WorkerRecord} from './types.js';

function createOwnership(state: ControlState, record: WorkerRecord): HostOwnership {
	const retired = state.retiredOwnership.get(record.id);
	const epoch = Math.max(retired?.epoch ?? 0, state.highestRetiredEpoch) + 1;
	// An entry host may not have heard yet that the worker was deleted and may still dispatch under the
	// old pool, so a worker that comes back starts there. A move takes it to its new home.
	const oldPool = retired?.phase.pool;
	const hasOldPool = oldPool !== undefined && state.records.get('pool')?.has(oldPool) === true;
	const pool = hasOldPool ? oldPool : record.homePool;
	return {worker: record.id, epoch, phase: {type: 'member', pool}};
}

/**
 * Gives a new worker its first owner. A worker that has one keeps it.
 *
 * @param state - The control state.
 * @param record - The worker's record.
 * @returns The state in which the worker has an owner.
 */
export function assignInitialOwner(state: ControlState, record: WorkerRecord): ControlState {
	if (state.ownership.has(record.id)) {
		return state;
	}

	return {
		...state,
		ownership: state.ownership.set(record.id, createOwnership(state, record)),
		retiredOwnership: state.retiredOwnership.delete(record.id),
	};
}

/**
 * Takes a deleted worker from its owner and remembers the owner.
 *
 * @param state - The control state.
 * @param worker - The deleted worker.
 * @returns The state in which no pool owns the worker.
 */
export function retireOwnership(state: ControlState, worker: WorkerId): ControlState {
	const owner = state.ownership.get(worker);
	if (owner === undefined) {
		return state;
	}

	const ownership = state.ownership.delete(worker);
	const retired = state.retiredOwnership.set(worker, owner);
	const oldest = retired.first();
	if (retired.size <= maximumRetiredWorkers || oldest === undefined) {
		return {...state, ownership, retiredOwnership: retired};
	}

	return {
		...state,
		ownership,
		retiredOwnership: retired.delete(oldest.worker),
		highestRetiredEpoch: Math.max(state.highestRetiredEpoch, oldest.epoch),
	};
}
