/**
 * Maintenance waves: workers are emptied and handed to the platform, a bounded number at a time.
 */
import type {PoolId, TimerService, WorkerId} from '@samphiremill/common';
import {
	planMaintenance,
	type Ledger, type LedgerCommand, type Task, type MaintenanceRequest, type WorkerView,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {SchedulerMetrics} from './metrics.js';
import type {SessionRegistry} from './session-registry.js';
import type {ListedWorker, WorkerPort} from './types.js';
import type {WorkerOrders} from './worker-orders.js';

/** What the waves need of the leader. */
export type MaintenanceControllerOptions = {
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly workers: WorkerPort;
	readonly orders: WorkerOrders;
	readonly sessions: SessionRegistry;
	readonly getLedger: () => Ledger;
	readonly getWallClock: () => number;
	readonly listSwitchedOff: () => readonly ListedWorker[];
	/** Whether the worker changes its pool at this moment. */
	readonly isMoving: (worker: WorkerId) => boolean;
	readonly listPressed: () => ReadonlySet<PoolId>;
	/** Whether no assignment that was planned before that moment is still on its way. */
	readonly isSettledSince: (sinceMs: number) => boolean;
	readonly term: number;
	readonly decide: (command: LedgerCommand) => Promise<boolean>;
	readonly onChanged: () => void;
};

/** The waves of one leader. */
export type MaintenanceController = {
	readonly tick: () => void;
	/** Workers that get no work, since they are emptied for their upkeep. */
	readonly isCordoned: (worker: WorkerId) => boolean;
};

/**
 * @param options - What the waves need.
 * @returns The waves.
 */
export function createMaintenanceController({timers, log, metrics, workers, orders, sessions, getLedger, getWallClock, listSwitchedOff, isMoving, listPressed, isSettledSince, term, decide, onChanged}: MaintenanceControllerOptions): MaintenanceController {
	let cordoned: ReadonlySet<WorkerId> = new Set();
	const cordonedSince = new Map<WorkerId, number>();

	// What a silent minion showed last says nothing of the present.
	const isServing = (task: Task) => task.runs.some(({life}) => {
		const session = sessions.get(life);
		const run = session?.getRun(task.id);
		return session !== undefined && session.isAnswering() && run?.servingSinceMs !== undefined && run.phase === 'running';
	});

	const getWorkerViews = () => {
		const views = new Map<WorkerId, WorkerView>();
		for (const session of sessions.values()) {
			const {worker, life} = session.record;
			views.set(worker, {worker, life, isUp: session.isUsable() && !isMoving(worker)});
		}

		return views;
	};

	const orderUpkeep = async ({wave, worker, life}: MaintenanceRequest) => {
		const isKnown = getLedger().waves.get(wave)?.ordered.has(worker) ?? false;
		if (!orders.canOrder(worker) || (!isKnown && !isSettledSince(cordonedSince.get(worker) ?? timers.getNow()))) {
			return;
		}

		const isNoted = isKnown || await decide({
			type: 'wave/workerOrdered', term, wave, worker, life,
		});
		if (!isNoted) {
			return;
		}

		const result = await orders.send(worker, `upkeep in wave ${wave}`, async authority => workers.beginUpkeep({...authority, worker, wave}));
		if (result === 'waiting') {
			return;
		}

		metrics.count('upkeeps_ordered_total', result);
		log.info(`upkeep of worker ${worker} in wave ${wave}: ${result}`, {
			worker, wave, life, result,
		});
		if (result === 'done' || result === 'notDue' || result === 'unknown') {
			await decide({
				type: 'wave/workerBegun', term, wave, worker, atMs: getWallClock(),
			});
			onChanged();
		}
	};

	const updateCordons = (updatedWorkers: ReadonlySet<WorkerId>) => {
		for (const worker of updatedWorkers) {
			if (!cordonedSince.has(worker)) {
				cordonedSince.set(worker, timers.getNow());
			}
		}

		for (const worker of cordonedSince.keys()) {
			if (!updatedWorkers.has(worker)) {
				cordonedSince.delete(worker);
			}
		}

		cordoned = updatedWorkers;
	};

	const tick = () => {
		const ledger = getLedger();
		if (ledger.waves.size === 0) {
			return;
		}

		const pressed = listPressed();
		const upkeep = planMaintenance({
			ledger,
			nowMs: getWallClock(),
			workers: getWorkerViews(),
			switchedOff: new Set(listSwitchedOff().map(({worker}) => worker).filter(worker => !isMoving(worker))),
			isPoolBusy({life}) {
				const pool = sessions.get(life)?.record.pool;
				return pool !== undefined && pressed.has(pool);
			},
			cordoned,
			isServing,
		});
		updateCordons(upkeep.cordoned);
		for (const task of upkeep.evictions) {
			for (const {life} of task.runs) {
				sessions.get(life)?.stop(task.id, 'its worker is due for upkeep');
			}
		}

		for (const request of upkeep.requests) {
			void orderUpkeep(request);
		}
	};

	return {tick, isCordoned: worker => cordoned.has(worker)};
}
