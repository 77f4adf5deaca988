/**
 * Load pattern: the platform does not carry out the move of an idle worker, and meanwhile a long-running task waits in the
 * pool of this worker.
 */
import {
	createSuccess, createVirtualTimerService, toBrand, type MonotonicMs, type NodeId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {createLedger, type IncarnationId, type PoolBalance} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {firstWorkerOrderDelayMs, leaderTickPeriodMs, maximumMovesShare} from './constants.js';
import {createSchedulerMetrics} from './metrics.js';
import {createPacedDuty} from './paced-duty.js';
import type {ListedWorker, WorkerOrderResult} from './types.js';
import {createWorkerMoves, type RunningWorker} from './worker-moves.js';
import {createWorkerOrders} from './worker-orders.js';

const pool = toBrand<PoolId>('counter');
const standbyPool = toBrand<PoolId>('reserve');
const worker = toBrand<WorkerId>('worker-1');
const life = toBrand<IncarnationId>('i-1@1');
const callMs = 20;

const createBalance = (balance: Pick<PoolBalance, 'pool' | 'isStandby' | 'waitingLastingCount'>): PoolBalance => ({
	millicores: 8000, incomingMillicores: 0, runnableMillicores: 0, workLeft: 0, inflowMillicores: 0, peakInflowMillicores: 0, readiness: 0, ...balance,
});

const runPendingCallbacks = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

const listed: readonly ListedWorker[] = [
	{
		worker, pool: standbyPool, state: 'up', millicores: 8000,
	},
	{
		worker: toBrand<WorkerId>('worker-2'), pool: standbyPool, state: 'up', millicores: 8000,
	},
];

// The plan moves the worker out of its pool whenever no long-running task waits there.
const start = ({planMs = 0} = {}) => {
	const timers = createVirtualTimerService();
	let result: WorkerOrderResult = 'throttled';
	let waitingLastingCount = 0;
	let orderCount = 0;
	let listCount = 0;
	let planningMs = 0;
	const carryOut = async () => {
		orderCount += 1;
		await new Promise<void>(resolve => {
			timers.scheduleOnce(callMs, resolve);
		});
		return result;
	};

	const running: RunningWorker = {
		worker, life, pool, millicores: 8000, kind: '', runCount: 0, isMovable: true,
	};
	const moves = createWorkerMoves({
		timers,
		log: {
			debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
		},
		metrics: createSchedulerMetrics(),
		workers: {beginUpkeep: carryOut, moveToPool: carryOut, list: async () => createSuccess(listed)},
		orders: createWorkerOrders({
			self: toBrand<NodeId>('host-1'), term: 1, timers, turnMs: 3300, getLedger: createLedger, getLastOrderAtMs: () => 0, canAct: () => true, commit: async () => true,
		}),
		listRunning() {
			listCount += 1;
			planningMs += planMs;
			return [running];
		},
		findRunning: other => other === worker ? running : undefined,
		pacePlans: createPacedDuty({timers: {getNow: () => toBrand<MonotonicMs>(timers.getNow() + planningMs)}, maximumShare: maximumMovesShare}),
		isRunning: other => other === worker,
		listPoolBalances: () => [createBalance({pool, isStandby: false, waitingLastingCount}), createBalance({pool: standbyPool, isStandby: true, waitingLastingCount: 0})],
		isStandbyPool: other => other === standbyPool,
		isCordonedForMaintenance: () => false,
		moveMs: 1500,
		areEarlierPlansSettled: () => true,
		planWorkerMoves: ({workers}) => waitingLastingCount > 0 ? [] : workers.map(movable => ({worker: movable.worker, from: movable.pool, to: standbyPool})),
		term: 1,
		commit: async () => true,
		onChanged: () => undefined,
	});
	timers.scheduleEvery(leaderTickPeriodMs, moves.tick);
	return {
		moves,
		setResult(value: WorkerOrderResult) {
			result = value;
		},
		setWaiting(count: number) {
			waitingLastingCount = count;
		},
		countOrders: () => orderCount,
		countLists: () => listCount,
		async advance(durationMs: number) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
				timers.advance(10);
				await runPendingCallbacks(); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
			}
		},
	};
};

test('a tick describes the running workers once', async () => {
	const world = start();
	await world.advance(firstWorkerOrderDelayMs + 1000);
	const before = world.countLists();
	await world.advance(10 * leaderTickPeriodMs);
	expect(world.countLists() - before).toBe(10);
});

test('a worker whose move is throttled takes tasks again once a long-running task waits in its pool', async () => {
	const world = start();
	await world.advance(firstWorkerOrderDelayMs + 5000);
	expect(world.moves.isCordoned(worker)).toBe(true);
	world.setWaiting(1);
	await world.advance(1000);
	expect(world.moves.isCordoned(worker)).toBe(false);
	expect(world.moves.isMoving(worker)).toBe(false);
});

test('a move that may have been carried out is not given up', async () => {
	const world = start();
	world.setResult('noAnswer');
	await world.advance(firstWorkerOrderDelayMs + 1000);
	world.setResult('throttled');
	world.setWaiting(1);
	await world.advance(5000);
	expect(world.moves.isCordoned(worker)).toBe(true);
});

test('the cordon for a move ends within a second of the return of a silent platform', async () => {
	const world = start();
	world.setResult('noAnswer');
	await world.advance(firstWorkerOrderDelayMs + 10_000);
	expect(world.moves.isCordoned(worker)).toBe(true);
	const before = world.countOrders();
	world.setResult('busy');
	await world.advance(1000);
	expect(world.countOrders()).toBeGreaterThan(before);
	world.setWaiting(1);
	await world.advance(1000);
	expect(world.moves.isCordoned(worker)).toBe(false);
});

test('the running workers are listed once a tick, however often the workers that are switched off are asked for', async () => {
	const world = start();
	world.setWaiting(1);
	await world.advance(firstWorkerOrderDelayMs + 1000);
	const before = world.countLists();
	expect(world.moves.listSwitchedOff().map(row => row.worker)).toEqual(['worker-2']);
	expect(world.countLists() - before).toBe(0);
	world.moves.tick();
	expect(world.countLists() - before).toBe(1);
});

// With hundreds of workers, plans took up to a tenth of a busy leader's time (incident 68).
test('plans that take long leave most of the time to others, and a chosen move is ordered at the next tick all the same', async () => {
	const planMs = 12;
	const world = start({planMs});
	await world.advance(firstWorkerOrderDelayMs + leaderTickPeriodMs);
	const before = {lists: world.countLists(), orders: world.countOrders()};
	await world.advance(3 * leaderTickPeriodMs);
	expect(world.countOrders()).toBeGreaterThan(before.orders);
	await world.advance(10_000 - (3 * leaderTickPeriodMs));
	const share = (world.countLists() - before.lists) * planMs / 10_000;
	expect(share).toBeGreaterThan(0);
	expect(share).toBeLessThanOrEqual(maximumMovesShare);
});
