/**
 * Ownership of a host when its record is created or deleted. Moves between pools are handled by the moves part.
 */
import type {WorkerId} from '@samphiremill/common';
import {maximumRetiredWorkers} from './constants.js';
import type {ControlState, HostOwnership, WorkerRecord} from './types.js';

function createOwnership(state: ControlState, record: WorkerRecord): HostOwnership {
	const retired = state.retiredOwnership.get(record.id);
	const epoch = Math.max(retired?.epoch ?? 0, state.highestRetiredEpoch) + 1;
	// An entry host may not have applied the deletion of the worker yet and may still dispatch jobs for the
	// old pool. A worker that is created again therefore starts in its old pool and is moved to its home
	// pool afterwards.
	const oldPool = retired?.phase.pool;
	const hasOldPool = oldPool !== undefined && state.records.get('pool')?.has(oldPool) === true;
	const pool = hasOldPool ? oldPool : record.homePool;
	return {worker: record.id, epoch, phase: {type: 'member', pool}};
}

/** Assigns an owner to a new worker. A worker that already has an owner keeps it. */
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

/** Removes a deleted worker from its owner, and stores the owner in `retiredOwnership`. */
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
