/**
 * Load pattern: a wave starts with workers that are switched off, while a burst makes the leader move switched-off
 * workers to a pool with a shortage.
 */
import {
	toBrand, type PoolId, type WaveId, type WorkerId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {planWorkerMoves, type PoolBalance} from '../pools/index.js';
import {
	applyLedgerCommand, createLedger, planMaintenance, type Ledger,
} from './index.js';

const counter = toBrand<PoolId>('counter');
const standby = toBrand<PoolId>('standby');
const wave = toBrand<WaveId>('1');
const names = ['worker-1', 'worker-2', 'worker-3', 'worker-4'].map(name => toBrand<WorkerId>(name));
const millicores = 32_000;
const moveMs = 1500;
const nowMs = 1_700_000_000_000;
const parse = () => undefined;

const createBalance = (pool: PoolId, balance: Partial<PoolBalance>): PoolBalance => ({
	pool, isStandby: false, millicores: 0, incomingMillicores: 0, waitingLastingCount: 0,
	runnableMillicores: 0, workLeft: 0, inflowMillicores: 0, peakInflowMillicores: 0, readiness: 0, ...balance,
});

const startWave = (maximumAtOnce: number) => {
	const ledger = createLedger();
	applyLedgerCommand(ledger, {
		type: 'wave/started', wave: {
			wave, workers: names.slice(0, 2), maximumAtOnce, startedAtMs: nowMs, dueAtMs: nowMs + 60_000,
		},
	}, parse);
	return ledger;
};

const startMaintenance = (ledger: Ledger, worker: WorkerId, atMs: number) => {
	applyLedgerCommand(ledger, {
		type: 'wave/workerOrdered', term: 0, wave, worker, life: undefined,
	}, parse);
	applyLedgerCommand(ledger, {
		type: 'wave/workerBegun', term: 0, wave, worker, atMs,
	}, parse);
};

const planAfter = (ledger: Ledger, afterMs: number) => planMaintenance({
	ledger, nowMs: nowMs + afterMs, workers: new Map(), switchedOff: new Set(names), isPoolLoaded: () => false, cordoned: new Set(), isServing: () => true,
});

// Plans the moves during a burst for which two additional workers are enough.
const listMoved = (cordoned: ReadonlySet<WorkerId>) => planWorkerMoves({
	pools: [
		createBalance(counter, {runnableMillicores: 2 * millicores, inflowMillicores: 2 * millicores}),
		createBalance(standby, {isStandby: true}),
	],
	workers: names.filter(worker => !cordoned.has(worker)).map(worker => ({
		worker, pool: standby, millicores, kind: '', idleMs: Number.POSITIVE_INFINITY,
	})),
	moveMs,
}).map(({worker}) => worker);

test('a burst gets other switched-off workers than those whose maintenance is ordered now', () => {
	const ledger = startWave(2);
	const {requests, cordoned} = planAfter(ledger, 0);
	expect(requests.map(({worker}) => worker)).toEqual(names.slice(0, 2));
	expect(listMoved(cordoned)).toEqual(names.slice(2));
});

test('a switched-off worker may be moved again after its maintenance, also if it was the last of its wave', () => {
	const ledger = startWave(2);
	for (const worker of names.slice(0, 2)) {
		startMaintenance(ledger, worker, nowMs);
	}

	expect(listMoved(planAfter(ledger, 300).cordoned)).toEqual(names.slice(2));
	expect(listMoved(planAfter(ledger, 1900).cordoned)).toEqual(names.slice(2));
	expect(planAfter(ledger, 3600).cordoned).toEqual(new Set());
});

test('a switched-off worker may be moved while its wave is at its limit', () => {
	const {requests, cordoned} = planAfter(startWave(1), 0);
	expect(requests.map(({worker}) => worker)).toEqual(names.slice(0, 1));
	expect(cordoned).toEqual(new Set(names.slice(0, 1)));
});
