/**
 * Orders for workers, each repeated under its own fencing token until the platform answers it. Two
 * leaders must not order the same worker within a lease, so each order is in the log before it is sent.
 */
import type {NodeId, TimerService, WorkerId} from '@samphiremill/common';
import type {Ledger, LedgerCommand} from '@samphiremill/core';
import {firstWorkerOrderDelayMs, workerOrderRetryDelayMs} from './constants.js';
import type {WorkerOrderAuthority, WorkerOrderResult} from './types.js';

/** What became of an attempt; `waiting` if none was due. */
export type WorkerOrderOutcome = WorkerOrderResult | 'waiting';

/** What the orders need of the leader. */
export type WorkerOrdersOptions = {
	readonly self: NodeId;
	readonly term: number;
	readonly timers: TimerService;
	/** For how long a worker is left alone after an order of an earlier leader, in milliseconds. */
	readonly turnMs: number;
	readonly getLedger: () => Ledger;
	/** When an order for the worker was last noted, on the monotonic clock. */
	readonly getNotedAtMs: (worker: WorkerId) => number;
	readonly canAct: () => boolean;
	readonly decide: (command: LedgerCommand) => Promise<boolean>;
};

/** The orders of one leader. */
export type WorkerOrders = {
	/** Sends an order unless the last attempt is under way or was made a moment ago. */
	readonly send: (worker: WorkerId, purpose: string, call: (authority: WorkerOrderAuthority) => Promise<WorkerOrderResult>) => Promise<WorkerOrderOutcome>;
	/** Whether orders may be given yet. */
	readonly isOpen: () => boolean;
	/** Whether no other leader may have ordered the worker a moment ago, and no order is under way. */
	readonly canOrder: (worker: WorkerId) => boolean;
};

type PendingOrder = {
	readonly purpose: string;
	readonly fencingToken: number;
	readonly dueAtMs: number;
};

// Orders of one term; a later term's tokens are all higher.
const ordersPerTerm = 1_000_000;

const isRetryable = (result: WorkerOrderResult) => result === 'noAnswer' || result === 'throttled';

/**
 * @param options - What the orders need.
 * @returns The orders. A new purpose gets a higher token, so that an old order that arrives late is void.
 */
export function createWorkerOrders({self, term, timers, turnMs, getLedger, getNotedAtMs, canAct, decide}: WorkerOrdersOptions): WorkerOrders {
	const orders = new Map<WorkerId, PendingOrder>();
	const beganAtMs = timers.getNow();
	const fencedAtMs = new Map<WorkerId, number>();
	let orderCount = 0;

	const getOrder = (worker: WorkerId, purpose: string): PendingOrder => {
		const known = orders.get(worker);
		if (known?.purpose === purpose) {
			return known;
		}

		orderCount += 1;
		return {purpose, fencingToken: (term * ordersPerTerm) + orderCount, dueAtMs: Number.NEGATIVE_INFINITY};
	};

	const isOpen = () => timers.getNow() - beganAtMs >= firstWorkerOrderDelayMs;

	// An earlier leader repeats an open order until it is replaced.
	const isOpenFor = (worker: WorkerId) => {
		const isUnderWay = orders.get(worker)?.dueAtMs === Number.POSITIVE_INFINITY;
		const isFenced = timers.getNow() - (fencedAtMs.get(worker) ?? Number.NEGATIVE_INFINITY) < turnMs;
		if (isUnderWay || isFenced) {
			return false;
		}

		const latest = getLedger().workerOrders.get(worker);
		if (latest === undefined || latest.term === term) {
			return isOpen();
		}

		return isOpen() && timers.getNow() - (latest.isOpen ? beganAtMs : getNotedAtMs(worker)) >= turnMs;
	};

	return {
		isOpen,
		canOrder: isOpenFor,
		async send(worker, purpose, call) {
			const order = getOrder(worker, purpose);
			if (!isOpenFor(worker) || timers.getNow() < order.dueAtMs || !canAct()) {
				return 'waiting';
			}

			orders.set(worker, {...order, dueAtMs: Number.POSITIVE_INFINITY});
			const isNoted = await decide({type: 'worker/ordered', term, worker});
			const result = isNoted && canAct() ? await call({holder: self, fencingToken: order.fencingToken}) : 'waiting';
			if (result !== 'waiting' && !isRetryable(result)) {
				await decide({type: 'worker/orderEnded', term, worker});
			}

			orders.set(worker, {...order, purpose: result === 'fenced' ? '' : purpose, dueAtMs: timers.getNow() + workerOrderRetryDelayMs});

			if (result === 'fenced') {
				fencedAtMs.set(worker, timers.getNow());
			}

			return result;
		},
	};
}
