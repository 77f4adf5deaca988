/**
 * Carries out maintenance waves: drains workers and has the platform maintain them, a bounded number at a time.
 */
import type {
	PoolId, TimerService, WaveId, WorkerId,
} from '@samphiremill/common';
import {
	isBackFromMaintenance, planMaintenance,
	type BlockedWorker, type IsAllowed, type Ledger, type LedgerCommand, type MaintenanceOrder, type MaintenanceTimes, type Task, type TaskId, type MaintenanceRequest, type UsableMinion, type WorkerView,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {cordonReleaseDelayMs} from './constants.js';
import {createCordonRelease} from './cordon-release.js';
import type {SchedulerMetrics} from './metrics.js';
import type {MinionSession} from './minion-session.js';
import type {SessionRegistry} from './session-registry.js';
import type {ListedWorker, WorkerPort} from './types.js';
import type {WorkerOrders} from './worker-orders.js';

/** Dependencies of the controller. */
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
	readonly times: MaintenanceTimes;
	/** Whether the worker is being moved to another pool. */
	readonly isMoving: (worker: WorkerId) => boolean;
	readonly listLoadedPools: () => ReadonlySet<PoolId>;
	/** Lists the waiting long-running tasks that could start on a minion if its worker were not cordoned. */
	readonly listLongRunningTasksFor: (session: MinionSession) => readonly TaskId[];
	/** Lists the minions of a pool that may be given work now. */
	readonly listUsableMinions: (pool: PoolId) => readonly UsableMinion[];
	/** Whether a step may run on an incarnation. */
	readonly isAllowed: IsAllowed;
	/** Whether no assignment that was proposed at or before that time is still uncommitted. */
	readonly areEarlierPlansSettled: (timeMs: number) => boolean;
	readonly term: number;
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	readonly onChanged: () => void;
};

/** Carries out the maintenance waves of one leader. */
export type MaintenanceController = {
	readonly tick: () => void;
	/** Whether the worker gets no tasks because it is drained for maintenance. */
	readonly isCordoned: (worker: WorkerId) => boolean;
};

export function createMaintenanceController({timers, log, metrics, workers, orders, sessions, getLedger, getWallClock, times, listSwitchedOff, isMoving, listLoadedPools, listLongRunningTasksFor, listUsableMinions, isAllowed, areEarlierPlansSettled, term, commit, onChanged}: MaintenanceControllerOptions): MaintenanceController {
	let cordoned: ReadonlySet<WorkerId> = new Set();
	const cordonedSince = new Map<WorkerId, number>();
	const stoppedAtMs = new Map<WorkerId, number>();
	/** The maintenance orders after which the worker was seen up again. The ledger keeps each order as it is once it has begun. */
	const returned = new WeakSet<MaintenanceOrder>();
	let blocked: ReadonlySet<WorkerId> = new Set();

	const release = createCordonRelease({
		timers,
		listWaitingTasks: worker => [...sessions.values()].filter(({record}) => record.worker === worker).flatMap(session => listLongRunningTasksFor(session)),
		onReleased(worker, tasks) {
			log.info(`worker ${worker} is not drained for now: long-running tasks wait for it`, {worker, tasks});
			onChanged();
		},
	});

	// The maintenance may start at any moment, also before the first tick of a new leader.
	const isOrdered = (worker: WorkerId) => {
		for (const {ordered} of getLedger().waves.values()) {
			const order = ordered.get(worker);
			if (order !== undefined && order.begunAtMs === undefined) {
				return true;
			}
		}

		return false;
	};

	// The last known state of a minion that does not answer may be out of date, so its runs don't count as serving.
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

	const isRecorded = ({wave, worker}: MaintenanceRequest) => getLedger().waves.get(wave)?.ordered.has(worker) ?? false;

	const orderMaintenance = async (request: MaintenanceRequest, countOrdered: () => number) => {
		const {wave, worker, life} = request;
		const isAlreadyOrdered = isRecorded(request);
		if (!orders.canOrder(worker) || (!isAlreadyOrdered && !areEarlierPlansSettled(cordonedSince.get(worker) ?? timers.getNow()))) {
			return;
		}

		const isCommitted = isAlreadyOrdered || await commit({
			type: 'wave/workerOrdered', term, wave, worker, life, orderedBefore: countOrdered(),
		});
		if (!isCommitted || !isRecorded(request)) {
			return;
		}

		const result = await orders.send(worker, `maintenance in wave ${wave}`, async authority => workers.beginUpkeep({...authority, worker, wave}));
		if (result === 'waiting') {
			return;
		}

		metrics.count('upkeeps_ordered_total', result);
		log.info(`maintenance of worker ${worker} in wave ${wave}: ${result}`, {
			worker, wave, life, result,
		});
		if (result === 'done' || result === 'notDue' || result === 'unknown') {
			await commit({
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

	// A stopped task has as long to start elsewhere as any task may wait for a cordoned worker.
	const listDraining = () => {
		for (const [worker, atMs] of stoppedAtMs) {
			if (timers.getNow() - atMs >= cordonReleaseDelayMs) {
				stoppedAtMs.delete(worker);
			}
		}

		return new Set(stoppedAtMs.keys());
	};

	const evict = (task: Task) => {
		const isFirstStop = isServing(task);
		for (const {life} of task.runs) {
			const session = sessions.get(life);
			session?.stop(task.id, 'its worker is due for maintenance');
			if (session !== undefined && isFirstStop) {
				stoppedAtMs.set(session.record.worker, timers.getNow());
			}
		}
	};

	// A worker may be switched off soon after its return, and would then count as down until the time limit.
	const recordReturns = (views: ReadonlyMap<WorkerId, WorkerView>) => {
		for (const [worker, order] of [...getLedger().waves.values()].flatMap(({ordered}) => [...ordered])) {
			if (isBackFromMaintenance(order, views.get(worker))) {
				returned.add(order);
			}
		}
	};

	const logBlocked = (workersNow: readonly BlockedWorker[]) => {
		for (const {worker, tasks} of workersNow.filter(entry => !blocked.has(entry.worker))) {
			log.info(`worker ${worker} is not drained for now: its long-running tasks can start nowhere else`, {worker, tasks: tasks.map(({id}) => id)});
		}

		blocked = new Set(workersNow.map(({worker}) => worker));
	};

	// How many workers this plan counts as ordered before its next order: those in the ledger, and those that it has just proposed.
	const countOrdered = (wave: WaveId, proposedByWave: Map<WaveId, number>): number => {
		const proposed = proposedByWave.get(wave) ?? 0;
		proposedByWave.set(wave, proposed + 1);
		return (getLedger().waves.get(wave)?.ordered.size ?? 0) + proposed;
	};

	const tick = () => {
		const ledger = getLedger();
		if (ledger.waves.size === 0) {
			return;
		}

		release.update([...cordoned].filter(worker => !isOrdered(worker)));
		const loadedPools = listLoadedPools();
		const views = getWorkerViews();
		recordReturns(views);
		const plan = planMaintenance({
			ledger,
			nowMs: timers.getNow(),
			times,
			workers: views,
			switchedOff: new Set(listSwitchedOff().map(({worker}) => worker).filter(worker => !isMoving(worker))),
			isPoolLoaded({life}) {
				const pool = sessions.get(life)?.record.pool;
				return pool !== undefined && loadedPools.has(pool);
			},
			cordoned,
			released: release.listReleased(),
			draining: listDraining(),
			hasReturned: order => returned.has(order),
			isServing,
			listMinions: listUsableMinions,
			isAllowed,
			canOrder: orders.canOrder,
		});
		updateCordons(plan.cordoned);
		logBlocked(plan.blocked);
		for (const task of plan.evictions) {
			evict(task);
		}

		const proposedByWave = new Map<WaveId, number>();
		for (const request of plan.requests) {
			void orderMaintenance(request, () => countOrdered(request.wave, proposedByWave));
		}
	};

	return {tick, isCordoned: worker => cordoned.has(worker) || isOrdered(worker)};
}
