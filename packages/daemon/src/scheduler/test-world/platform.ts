/**
 * The simulated platform, which maintains workers and moves them between pools.
 */
import {
	createSuccess, toBrand, type PoolId, type WorkerId,
} from '@samphiremill/common';
import type {WorkerOrderAuthority, WorkerOrderResult, WorkerPort} from '../types.js';
import {
	maintenanceMs, moveMs, pool, standbyPool,
} from './constants.js';
import type {FakeFleet, GetPool} from './minions.js';
import type {Simulation} from './simulation.js';

/** How long an order takes to reach the platform, in milliseconds. */
const transferMs = 2;

/** After this time an order that the platform has not answered counts as unanswered, in milliseconds. */
const orderTimeoutMs = 1000;

/** The workers that the platform moves between pools. */
export type WorkerPools = {
	readonly standby: readonly WorkerId[];
	readonly getMovedPool: GetPool;
	readonly setPool: (worker: WorkerId, workerPool: PoolId) => void;
	readonly list: () => ReadonlyArray<{readonly worker: WorkerId; readonly pool: PoolId}>;
};

/**
 * Creates the pools of the workers, with the standby workers in theirs.
 *
 * @param standbyWorkers - How many standby workers there are.
 * @returns The pools.
 */
export function createWorkerPools(standbyWorkers: number): WorkerPools {
	const standby = Array.from({length: standbyWorkers}, (_, index) => toBrand<WorkerId>(`spare-${index}`));
	const poolByWorker = new Map<WorkerId, PoolId>(standby.map(worker => [worker, standbyPool]));
	return {
		standby,
		getMovedPool: worker => poolByWorker.get(worker),
		setPool(worker, workerPool) {
			poolByWorker.set(worker, workerPool);
		},
		list: () => [...poolByWorker].map(([worker, workerPool]) => ({worker, pool: workerPool})),
	};
}

/** The platform of a simulation. */
export type FakePlatform = {
	readonly port: WorkerPort;
	/** Lists the moves that were carried out. */
	readonly listMoves: () => readonly string[];
};

/** What the platform works on. */
export type FakePlatformOptions = {
	readonly simulation: Simulation;
	readonly fleet: FakeFleet;
	readonly pools: WorkerPools;
};

/**
 * Creates the platform of a simulation.
 *
 * @param options - The simulation and its parts.
 * @returns The platform.
 */
export function createFakePlatform({simulation, fleet, pools}: FakePlatformOptions): FakePlatform {
	const {timers, pause, checks} = simulation;
	const moves: string[] = [];
	const maintenanceStartedAtMs = new Map<WorkerId, number>();
	const busyUntilMs = new Map<WorkerId, number>();

	const isBusy = (worker: WorkerId) => (busyUntilMs.get(worker) ?? 0) > timers.getNow();

	const replaceIncarnation = (worker: WorkerId, {to, delayMs}: {readonly to: PoolId; readonly delayMs: number}) => {
		for (const minion of fleet.listMinions().filter(({record}) => record.worker === worker)) {
			fleet.remove(minion);
		}

		timers.scheduleOnce(delayMs, () => {
			if (to !== standbyPool) {
				fleet.createMinion(worker, to);
			}
		});
	};

	const recordOrder = ({worker, holder, fencingToken}: WorkerOrderAuthority & {readonly worker: WorkerId}) => {
		checks.record({
			type: 'workerOrdered', worker, holder, fencingToken,
		});
	};

	// A slow platform carries out an order after its caller has given up waiting.
	const receive = async (order: WorkerOrderAuthority & {readonly worker: WorkerId}, carryOut: () => WorkerOrderResult): Promise<WorkerOrderResult> => {
		await pause(transferMs);
		recordOrder(order);
		const {workerOrderDelayMs} = simulation.faults;
		if (workerOrderDelayMs === undefined) {
			return carryOut();
		}

		simulation.faults.workerOrderDelayMs = undefined;
		simulation.recordFault(Math.max(workerOrderDelayMs, orderTimeoutMs));
		timers.scheduleOnce(workerOrderDelayMs, () => {
			carryOut();
		});
		await pause(orderTimeoutMs);
		return 'noAnswer';
	};

	const port: WorkerPort = {
		beginUpkeep: async order => receive(order, () => {
			const {worker} = order;
			if (maintenanceStartedAtMs.has(worker)) {
				return 'done';
			}

			if (isBusy(worker)) {
				return 'busy';
			}

			checks.record({
				type: 'upkeepBegun', worker, wave: order.wave, untilMs: timers.getNow() + maintenanceMs,
			});
			maintenanceStartedAtMs.set(worker, timers.getNow());
			busyUntilMs.set(worker, timers.getNow() + maintenanceMs);
			replaceIncarnation(worker, {to: pools.getMovedPool(worker) ?? pool, delayMs: maintenanceMs});
			return 'done';
		}),
		moveToPool: async order => receive(order, () => {
			const {worker, pool: to} = order;
			if ((pools.getMovedPool(worker) ?? pool) === to) {
				return 'done';
			}

			if (isBusy(worker)) {
				return 'busy';
			}

			busyUntilMs.set(worker, timers.getNow() + moveMs);
			checks.record({type: 'moveBegun', worker, pool: to});
			moves.push(`${worker} to ${to}`);
			pools.setPool(worker, to);
			replaceIncarnation(worker, {to, delayMs: moveMs});
			return 'done';
		}),
		async list() {
			await pause(transferMs);
			return createSuccess(pools.list().map(({worker, pool: workerPool}) => ({
				worker, pool: workerPool, state: 'up' as const, millicores: 8000,
			})));
		},
	};

	return {port, listMoves: () => moves};
}
