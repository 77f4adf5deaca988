/**
 * Orders for workers, each repeated under its own fencing token until the platform answers it.
 */
import type {NodeId, TimerService, WorkerId} from '@samphiremill/common';
import {workerOrderDelayMs, workerOrderRetryMs} from './constants.js';
import type {WorkerOrderAuthority, WorkerOrderResult} from './types.js';

/** What became of an attempt; `waiting` if none was due. */
export type WorkerOrderOutcome = WorkerOrderResult | 'waiting';

/** The orders of one leader. */
export type WorkerOrders = {
	/** Sends an order unless the last attempt is under way or was made a moment ago. */
	readonly send: (worker: WorkerId, purpose: string, call: (authority: WorkerOrderAuthority) => Promise<WorkerOrderResult>) => Promise<WorkerOrderOutcome>;
	/** Whether orders may be given yet, and no other holder has overtaken this one. */
	readonly isOpen: () => boolean;
};

type KnownOrder = {
	readonly purpose: string;
	readonly fencingToken: number;
	readonly dueAtMs: number;
};

// Orders of one term; a later term's tokens are all higher.
const ordersPerTerm = 1_000_000;

/**
 * @param options - The holder, its term, and when the term began on the monotonic clock.
 * @returns The orders. A new purpose gets a higher token, so that an old order that arrives late is void.
 */
export function createWorkerOrders({self, term, timers, canAct}: {
	readonly self: NodeId;
	readonly term: number;
	readonly timers: TimerService;
	readonly canAct: () => boolean;
}): WorkerOrders {
	const orders = new Map<WorkerId, KnownOrder>();
	const opensAtMs = timers.getNow() + workerOrderDelayMs;
	let orderCount = 0;
	let isFenced = false;

	const getOrder = (worker: WorkerId, purpose: string): KnownOrder => {
		const known = orders.get(worker);
		if (known?.purpose === purpose) {
			return known;
		}

		orderCount += 1;
		return {purpose, fencingToken: (term * ordersPerTerm) + orderCount, dueAtMs: Number.NEGATIVE_INFINITY};
	};

	const isOpen = () => !isFenced && timers.getNow() >= opensAtMs;

	return {
		isOpen,
		async send(worker, purpose, call) {
			const order = getOrder(worker, purpose);
			if (!isOpen() || timers.getNow() < order.dueAtMs || !canAct()) {
				return 'waiting';
			}

			orders.set(worker, {...order, dueAtMs: Number.POSITIVE_INFINITY});
			const result = await call({holder: self, fencingToken: order.fencingToken});
			orders.set(worker, {...order, dueAtMs: timers.getNow() + workerOrderRetryMs});
			isFenced ||= result === 'fenced';
			return result;
		},
	};
}
