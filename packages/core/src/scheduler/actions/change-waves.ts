import type {WaveId, WorkerId} from '@samphiremill/common';
import type {
	Ledger, LedgerOutcome, IncarnationId, MaintenanceOrder, MaintenanceWave,
} from '../types.js';
import {removeMinion} from './change-minions.js';

/** Stores a maintenance wave. Ignores a wave that is already known. */
export function startWave(ledger: Ledger, wave: Omit<MaintenanceWave, 'ordered'>): LedgerOutcome {
	if (ledger.waves.has(wave.wave)) {
		return {type: 'ignored'};
	}

	ledger.waves.set(wave.wave, {...wave, ordered: new Map()});
	return {type: 'applied'};
}

/** Identifies the maintenance of one worker in a wave. */
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
 * Records that the maintenance of a worker is about to be ordered, so that a later leader counts the worker as
 * down. Ignored if it was recorded before, the wave is unknown, or another order came in between, which the plan has
 * not counted towards the wave's maximum.
 *
 * @param ordered - The wave, the worker, the incarnation that the maintenance ends, and how many workers the plan counted as ordered.
 */
export function recordMaintenanceOrdered(ledger: Ledger, {life, orderedBefore, ...reference}: MaintenanceReference & {readonly life: IncarnationId | undefined; readonly orderedBefore?: number}): LedgerOutcome {
	const ordered = ledger.waves.get(reference.wave)?.ordered;
	const isOutdated = ordered === undefined || ordered.has(reference.worker) || (orderedBefore !== undefined && ordered.size !== orderedBefore);
	return isOutdated ? {type: 'ignored'} : replaceOrder(ledger, reference, {life, begunAtMs: undefined});
}

/**
 * Records that the platform has started the maintenance of a worker, which ended all runs on the worker.
 * Ignored if it was not ordered or its start was recorded before.
 *
 * @param start - The wave, the worker, and the start as Unix time in milliseconds.
 */
export function recordMaintenanceStarted(ledger: Ledger, start: MaintenanceReference & {readonly atMs: number}): LedgerOutcome {
	const order = ledger.waves.get(start.wave)?.ordered.get(start.worker);
	if (order === undefined || order.begunAtMs !== undefined) {
		return {type: 'ignored'};
	}

	if (order.life !== undefined) {
		removeMinion(ledger, order.life);
	}

	return replaceOrder(ledger, start, {...order, begunAtMs: start.atMs});
}
