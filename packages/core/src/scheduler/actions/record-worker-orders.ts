import type {WorkerId} from '@samphiremill/common';
import type {Ledger, LedgerOutcome} from '../types.js';

/** Identifies an order to the platform by its worker and the term of the leader that sends it. */
export type WorkerOrderReference = {
	readonly term: number;
	readonly worker: WorkerId;
};

/** Records that an order is about to be sent, so that a later leader sends none for this worker for some time. */
export function recordWorkerOrdered(ledger: Ledger, {term, worker}: WorkerOrderReference): LedgerOutcome {
	const life = [...ledger.incarnations.values()].find(({record}) => record.worker === worker)?.record.life;
	ledger.workerOrders.set(worker, {term, isOpen: true, ...(life !== undefined && {life})});
	return {type: 'applied'};
}

/** Records that an order is not sent again. Ignored if the worker has no open order. */
export function recordWorkerOrderEnded(ledger: Ledger, {term, worker}: WorkerOrderReference): LedgerOutcome {
	if (ledger.workerOrders.get(worker)?.isOpen !== true) {
		return {type: 'ignored'};
	}

	ledger.workerOrders.set(worker, {term, isOpen: false});
	return {type: 'applied'};
}
