import type {WorkerId} from '@samphiremill/common';
import type {Ledger, LedgerOutcome} from '../types.js';

/** An order to the platform for a worker. */
export type WorkerOrderReference = {
	readonly term: number;
	readonly worker: WorkerId;
};

/**
 * Notes that an order is about to be sent, so that a later leader leaves the worker alone for a while.
 *
 * @param ledger - The ledger.
 * @param order - The worker and the term of the leader.
 * @returns That it is noted.
 */
export function recordWorkerOrdered(ledger: Ledger, {term, worker}: WorkerOrderReference): LedgerOutcome {
	ledger.workerOrders.set(worker, {term, isOpen: true});
	return {type: 'applied'};
}

/**
 * Notes that an order is not sent again.
 *
 * @param ledger - The ledger.
 * @param order - The worker and the term of the leader.
 * @returns Whether the order was open.
 */
export function recordWorkerOrderEnded(ledger: Ledger, {term, worker}: WorkerOrderReference): LedgerOutcome {
	if (ledger.workerOrders.get(worker)?.isOpen !== true) {
		return {type: 'ignored'};
	}

	ledger.workerOrders.set(worker, {term, isOpen: false});
	return {type: 'applied'};
}
