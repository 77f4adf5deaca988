/**
 * Sends orders for workers to the platform. An order is retried under the same fencing token until the
 * platform answers it. Two leaders must not order the same worker within a lease, so each order is
 * committed before it is sent.
 */
import type {NodeId, TimerService, WorkerId} from '@samphiremill/common';
import type {Ledger, LedgerCommand} from '@samphiremill/core';
import {firstWorkerOrderDelayMs, workerOrderRetryDelayMs} from './constants.js';
import type {WorkerOrderAuthority, WorkerOrderResult} from './types.js';

/** Outcome of an attempt; `waiting` if nothing was sent. */
export type WorkerOrderOutcome = WorkerOrderResult | 'waiting';

/** Dependencies of the orders. */
export type WorkerOrdersOptions = {
	readonly self: NodeId;
	readonly term: number;
	readonly timers: TimerService;
	/** How long a worker gets no orders after an order of an earlier leader, in milliseconds. */
	readonly turnMs: number;
	readonly getLedger: () => Ledger;
	/** When this host learnt of the latest order for the worker, on the monotonic clock. */
	readonly getLastOrderAtMs: (worker: WorkerId) => number;
	readonly canAct: () => boolean;
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
};

/** Sends the worker orders of one leader. */
export type WorkerOrders = {
	/** Sends an order unless an attempt is pending or the retry delay has not passed. */
	readonly send: (worker: WorkerId, purpose: string, call: (authority: WorkerOrderAuthority) => Promise<WorkerOrderResult>) => Promise<WorkerOrderOutcome>;
	/** Whether the leader has led for long enough to send orders. */
	readonly isOpen: () => boolean;
	/** Whether the worker may get an order: orders may be sent yet, none is pending, and no other leader may have sent one within `turnMs`. */
	readonly canOrder: (worker: WorkerId) => boolean;
	/** Whether an order of an earlier leader, which got no answer that is known, may still be carried out. */
	readonly isInherited: (worker: WorkerId) => boolean;
};

type PendingOrder = {
	readonly purpose: string;
	readonly fencingToken: number;
	readonly dueAtMs: number;
};

// Limit on the orders of one term, so that all fencing tokens of a later term are higher.
const ordersPerTerm = 1_000_000;

const isRetryable = (result: WorkerOrderResult) => result === 'noAnswer' || result === 'throttled';

/**
 * Creates the sender of one leader's orders. An order with a new purpose gets a higher fencing token, so that
 * the platform rejects an older order that arrives late.
 */
export function createWorkerOrders({self, term, timers, turnMs, getLedger, getLastOrderAtMs, canAct, commit}: WorkerOrdersOptions): WorkerOrders {
	const orders = new Map<WorkerId, PendingOrder>();
	const termStartedAtMs = timers.getNow();
	const fencedAtMs = new Map<WorkerId, number>();
	let orderCount = 0;

	const getOrCreateOrder = (worker: WorkerId, purpose: string): PendingOrder => {
		const known = orders.get(worker);
		if (known?.purpose === purpose) {
			return known;
		}

		orderCount += 1;
		return {purpose, fencingToken: (term * ordersPerTerm) + orderCount, dueAtMs: Number.NEGATIVE_INFINITY};
	};

	const isOpen = () => timers.getNow() - termStartedAtMs >= firstWorkerOrderDelayMs;

	// An earlier leader retries an open order until it is deposed, so the turn counts from the start of this term.
	const canOrder = (worker: WorkerId) => {
		const isPending = orders.get(worker)?.dueAtMs === Number.POSITIVE_INFINITY;
		const isFenced = timers.getNow() - (fencedAtMs.get(worker) ?? Number.NEGATIVE_INFINITY) < turnMs;
		if (isPending || isFenced) {
			return false;
		}

		const latest = getLedger().workerOrders.get(worker);
		if (latest === undefined || latest.term === term) {
			return isOpen();
		}

		return isOpen() && timers.getNow() - (latest.isOpen ? termStartedAtMs : getLastOrderAtMs(worker)) >= turnMs;
	};

	return {
		isOpen,
		canOrder,
		isInherited(worker) {
			const latest = getLedger().workerOrders.get(worker);
			const isCarriedOut = latest?.life === undefined || !getLedger().incarnations.has(latest.life);
			return latest !== undefined && latest.isOpen && latest.term !== term && !isCarriedOut && timers.getNow() - termStartedAtMs < turnMs;
		},
		async send(worker, purpose, call) {
			const order = getOrCreateOrder(worker, purpose);
			if (!canOrder(worker) || timers.getNow() < order.dueAtMs || !canAct()) {
				return 'waiting';
			}

			orders.set(worker, {...order, dueAtMs: Number.POSITIVE_INFINITY});
			const isCommitted = await commit({type: 'worker/ordered', term, worker});
			const result = isCommitted && canAct() ? await call({holder: self, fencingToken: order.fencingToken}) : 'waiting';
			if (result !== 'waiting' && !isRetryable(result)) {
				await commit({type: 'worker/orderEnded', term, worker});
			}

			orders.set(worker, {...order, purpose: result === 'fenced' ? '' : purpose, dueAtMs: timers.getNow() + workerOrderRetryDelayMs});

			if (result === 'fenced') {
				fencedAtMs.set(worker, timers.getNow());
			}

			return result;
		},
	};
}
