/**
 * Moves workers between pools: cordons a worker, orders the move, and waits until it arrives in its new pool.
 */
import type {PoolId, TimerService, WorkerId} from '@samphiremill/common';
import {
	type LedgerCommand, type IncarnationId, type PoolBalance, type WorkerMove,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {
	workerListPeriodMs, moveArrivalTimeoutMs, moveGiveUpDelayMs, moveSettleDelayMs, refusedMoveDelayMs,
} from './constants.js';
import type {SchedulerMetrics} from './metrics.js';
import type {PacedDuty} from './paced-duty.js';
import type {SchedulerPolicy} from './policy.js';
import type {ListedWorker, WorkerPort} from './types.js';
import type {WorkerOrders} from './worker-orders.js';

/** A worker with a minion, as the leader sees it. */
export type RunningWorker = {
	readonly worker: WorkerId;
	readonly life: IncarnationId;
	readonly pool: PoolId;
	readonly millicores: number;
	readonly kind: string;
	readonly runCount: number;
	/** Whether its minion answers and is not draining. */
	readonly isMovable: boolean;
};

/** Dependencies of the moves. */
export type WorkerMovesOptions = {
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly workers: WorkerPort;
	readonly orders: WorkerOrders;
	readonly listRunning: () => readonly RunningWorker[];
	/** Returns the worker if it is among the running ones. */
	readonly findRunning: (worker: WorkerId) => RunningWorker | undefined;
	/** Whether the worker is among the running ones. */
	readonly isRunning: (worker: WorkerId) => boolean;
	/** Spaces the plans, which look at all workers. Moves that were planned are followed at each tick. */
	readonly pacePlans: PacedDuty;
	readonly listPoolBalances: () => readonly PoolBalance[];
	readonly isStandbyPool: (pool: PoolId) => boolean;
	/** Whether the worker is drained for maintenance. */
	readonly isCordonedForMaintenance: (worker: WorkerId) => boolean;
	/** How long the platform takes to move a worker, in milliseconds. */
	readonly moveMs: number;
	/** Whether no assignment that was proposed at or before that time is still uncommitted. */
	readonly areEarlierPlansSettled: (timeMs: number) => boolean;
	readonly planWorkerMoves: SchedulerPolicy['planWorkerMoves'];
	readonly term: number;
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	readonly onChanged: () => void;
};

/** The moves of one leader. */
export type WorkerMoves = {
	readonly tick: () => void;
	/** Whether the worker gets no tasks because its move has not been confirmed yet. */
	readonly isCordoned: (worker: WorkerId) => boolean;
	/** Whether the worker is to be moved, or is being moved. */
	readonly isMoving: (worker: WorkerId) => boolean;
	/** Workers of the standby pools that are up and have no minion, as the platform lists them. */
	readonly listSwitchedOff: () => readonly ListedWorker[];
	/** Processors of the workers that are being moved to a pool. */
	readonly getIncomingMillicores: (pool: PoolId) => number;
};

type ActiveMove = WorkerMove & {
	readonly millicores: number;
	readonly startedAtMs: number;
	readonly life: IncarnationId | undefined;
	readonly confirmedAtMs: number | undefined;
	/** Whether an order got no answer, so that the platform may carry it out at any time. */
	readonly isUncertain: boolean;
};

export function createWorkerMoves({timers, log, metrics, workers, orders, listRunning, findRunning, isRunning, pacePlans, listPoolBalances, isStandbyPool, isCordonedForMaintenance, moveMs, areEarlierPlansSettled, planWorkerMoves, term, commit, onChanged}: WorkerMovesOptions): WorkerMoves {
	const active = new Map<WorkerId, ActiveMove>();
	const idleSince = new Map<WorkerId, number>();
	const refusedAtMs = new Map<WorkerId, number>();
	let listedWorkers: readonly ListedWorker[] = [];
	let isListing = false;
	let listAtMs = Number.NEGATIVE_INFINITY;
	/** Pools in which long-running tasks waited at the last plan. */
	let waitingPools: ReadonlySet<PoolId> = new Set();
	let hasStandbyPool = false;

	const isAvailable = (worker: WorkerId) => !active.has(worker) && !isCordonedForMaintenance(worker) && orders.canOrder(worker) && timers.getNow() - (refusedAtMs.get(worker) ?? Number.NEGATIVE_INFINITY) > refusedMoveDelayMs;

	const listSwitchedOff = () => listedWorkers.filter(({worker, pool, state}) => state === 'up' && !isRunning(worker) && isStandbyPool(pool));

	const refreshList = async () => {
		isListing = true;
		const found = await workers.list();
		isListing = false;
		listAtMs = timers.getNow();
		if (found.ok) {
			listedWorkers = found.value;
		} else {
			log.warn(`cannot read the platform's list of workers: ${found.err}`, {known: listedWorkers.length});
		}
	};

	const updateIdleTimes = (running: readonly RunningWorker[]) => {
		const nowMs = timers.getNow();
		for (const {worker, runCount} of running) {
			if (runCount > 0) {
				idleSince.delete(worker);
			} else if (!idleSince.has(worker)) {
				idleSince.set(worker, nowMs);
			}
		}
	};

	const beginMove = ({worker, from, to}: WorkerMove, running: ReadonlyMap<WorkerId, RunningWorker>, balances: readonly PoolBalance[]) => {
		const known = running.get(worker);
		metrics.count('moves_begun_total');
		log.info(`worker ${worker} moves from pool ${from} to ${to}`, {
			worker, from, to, life: known?.life, pools: balances.filter(({pool}) => pool === from || pool === to),
		});
		active.set(worker, {
			worker,
			from,
			to,
			millicores: known?.millicores ?? listedWorkers.find(row => row.worker === worker)?.millicores ?? 0,
			startedAtMs: timers.getNow(),
			life: known?.life,
			confirmedAtMs: undefined,
			isUncertain: false,
		});
	};

	const confirmMove = async (move: ActiveMove) => {
		active.set(move.worker, {...move, confirmedAtMs: timers.getNow()});
		listedWorkers = listedWorkers.map(row => row.worker === move.worker ? {...row, pool: move.to} : row);
		idleSince.delete(move.worker);
		if (move.life !== undefined) {
			await commit({type: 'minion/left', term, life: move.life});
		}

		onChanged();
	};

	const sendMove = async (move: ActiveMove) => {
		const result = await orders.send(move.worker, `move to ${move.to} at ${move.startedAtMs}`, async authority => workers.moveToPool({...authority, worker: move.worker, pool: move.to}));
		switch (result) {
			case 'done': {
				await confirmMove(move);
				break;
			}

			case 'noAnswer': {
				// The move may have been dropped during the call.
				if (active.has(move.worker)) {
					active.set(move.worker, {...move, isUncertain: true});
				}

				break;
			}

			case 'waiting':
			case 'throttled': {
				break;
			}

			case 'fenced':
			case 'busy':
			case 'notDue':
			case 'unknown': {
				log.info(`worker ${move.worker} is not moved: ${result}`, {worker: move.worker, to: move.to, result});
				active.delete(move.worker);
				refusedAtMs.set(move.worker, timers.getNow());
				break;
			}
		}
	};

	// A pool in which long-running tasks wait gives no workers away, so it gets a worker back that the platform can't have moved.
	const isGivenUp = ({worker, startedAtMs, isUncertain}: ActiveMove, isPoolWaiting: boolean) =>
		isPoolWaiting && !isUncertain && orders.canOrder(worker) && timers.getNow() - startedAtMs >= moveGiveUpDelayMs;

	const followMove = (move: ActiveMove) => {
		const nowMs = timers.getNow();
		const present = findRunning(move.worker);
		if (move.confirmedAtMs !== undefined) {
			const hasArrived = present !== undefined && present.life !== move.life && present.pool === move.to;
			// A worker that moves to a standby pool is switched off and reports nothing, so its move ends with the time of a move.
			const limitMs = isStandbyPool(move.to) ? moveMs : moveArrivalTimeoutMs;
			if (hasArrived || nowMs - move.confirmedAtMs > limitMs) {
				active.delete(move.worker);
			}

			return;
		}

		if (nowMs - move.startedAtMs < moveSettleDelayMs || !areEarlierPlansSettled(move.startedAtMs)) {
			return;
		}

		// An assignment was still uncommitted when the worker was chosen, so it has runs now.
		if ((present?.runCount ?? 0) > 0 && present?.life === move.life) {
			active.delete(move.worker);
			return;
		}

		if (isGivenUp(move, waitingPools.has(move.from))) {
			log.info(`worker ${move.worker} is not moved: long-running tasks wait in pool ${move.from}`, {worker: move.worker, from: move.from, to: move.to});
			active.delete(move.worker);
			return;
		}

		void sendMove(move);
	};

	const planMoves = (balances: readonly PoolBalance[]) => {
		const running = listRunning();
		updateIdleTimes(running);
		const runningByWorker = new Map(running.map(worker => [worker.worker, worker]));
		const movable = running
			.filter(({worker, isMovable}) => isMovable && isAvailable(worker))
			.map(({worker, pool, millicores, kind}) => ({
				worker, pool, millicores, kind, idleMs: idleSince.has(worker) ? timers.getNow() - (idleSince.get(worker) ?? 0) : 0,
			}));
		const switchedOff = listSwitchedOff()
			.filter(({worker}) => isAvailable(worker))
			.map(({worker, pool, millicores}) => ({
				worker, pool, millicores, kind: '', idleMs: Number.POSITIVE_INFINITY,
			}));
		for (const move of planWorkerMoves({pools: balances, workers: [...movable, ...switchedOff], moveMs})) {
			beginMove(move, runningByWorker, balances);
		}
	};

	return {
		tick() {
			const isOpen = orders.isOpen();
			if (isOpen && hasStandbyPool) {
				for (const move of active.values()) {
					followMove(move);
				}
			}

			pacePlans(() => {
				const balances = listPoolBalances();
				waitingPools = new Set(balances.filter(({waitingLastingCount}) => waitingLastingCount > 0).map(({pool}) => pool));
				hasStandbyPool = balances.some(({isStandby}) => isStandby);
				if (!isOpen || !hasStandbyPool) {
					return;
				}

				if (!isListing && timers.getNow() - listAtMs > workerListPeriodMs) {
					void refreshList();
				}

				planMoves(balances);
			});
		},
		isCordoned: worker => active.has(worker) && active.get(worker)?.confirmedAtMs === undefined,
		isMoving: worker => active.has(worker),
		listSwitchedOff,
		getIncomingMillicores(pool) {
			let sum = 0;
			for (const {to, millicores} of active.values()) {
				sum += to === pool ? millicores : 0;
			}

			return sum;
		},
	};
}
