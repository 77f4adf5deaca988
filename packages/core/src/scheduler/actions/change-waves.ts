import type {WaveId, WorkerId} from '@samphiremill/common';
import type {
	Ledger, LedgerOutcome, IncarnationId, MaintenanceOrder, MaintenanceWave,
} from '../types.js';
import {removeMinion} from './change-minions.js';

/**
 * Stores a maintenance wave. A repetition changes nothing.
 *
 * @param ledger - The ledger.
 * @param wave - The wave.
 * @returns Whether it is new.
 */
export function startWave(ledger: Ledger, wave: Omit<MaintenanceWave, 'ordered'>): LedgerOutcome {
	if (ledger.waves.has(wave.wave)) {
		return {type: 'ignored'};
	}

	ledger.waves.set(wave.wave, {...wave, ordered: new Map()});
	return {type: 'applied'};
}

/** An upkeep of a wave. */
export type MaintenanceReference = {
	readonly wave: WaveId;
	readonly worker: WorkerId;
};

const replaceOrder = (ledger: Ledger, {wave: id, worker}: MaintenanceReference, order: MaintenanceOrder): LedgerOutcome => {
	const wave = ledger.waves.get(id);
	if (wave === undefined) {
		return {type: 'ignored'};
	}

	ledger.waves.set(id, {...wave, ordered: new Map([...wave.ordered, [worker, order]])});
	return {type: 'applied'};
};

/**
 * Notes that an upkeep is about to be ordered, so that a later leader counts the worker as down.
 *
 * @param ledger - The ledger.
 * @param ordered - The wave, the worker, and the life that the upkeep ends.
 * @returns Whether it is new.
 */
export function recordMaintenanceOrdered(ledger: Ledger, ordered: MaintenanceReference & {readonly life: IncarnationId | undefined}): LedgerOutcome {
	const isKnown = ledger.waves.get(ordered.wave)?.ordered.has(ordered.worker) ?? true;
	return isKnown ? {type: 'ignored'} : replaceOrder(ledger, ordered, {life: ordered.life, begunAtMs: undefined});
}

/**
 * Notes that the platform has begun an upkeep. All that ran on the worker has ended.
 *
 * @param ledger - The ledger.
 * @param begun - The wave, the worker and the Unix time.
 * @returns Whether it is new.
 */
export function recordMaintenanceStarted(ledger: Ledger, begun: MaintenanceReference & {readonly atMs: number}): LedgerOutcome {
	const order = ledger.waves.get(begun.wave)?.ordered.get(begun.worker);
	if (order === undefined || order.begunAtMs !== undefined) {
		return {type: 'ignored'};
	}

	if (order.life !== undefined) {
		removeMinion(ledger, order.life);
	}

	return replaceOrder(ledger, begun, {...order, begunAtMs: begun.atMs});
}
