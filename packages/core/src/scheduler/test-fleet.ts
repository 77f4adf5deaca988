/**
 * Builds small ledgers for tests of single decisions.
 */
import {
	toBrand, type JobId, type MinionId, type PoolId, type QueueId, type WorkerId,
} from '@samphiremill/common';
import {applyLedgerCommand} from './apply-ledger-command.js';
import {createIncarnationId} from './ids.js';
import {plainStep} from './plain-step.js';
import type {UsableMinion} from './minion-capacity.js';
import type {MaintenanceTimes} from './plan-maintenance.js';
import type {
	JobSpecification, Ledger, MinionRecord, RunAssignment, RunEnding, StepSpecification,
} from './types.js';

export const testPool = toBrand<PoolId>('counter');
export const testNowMs = 1_700_000_000_000;
const parse = () => undefined;

/** Adds a minion of 8 cores to the ledger. Returns it as usable and healthy. */
export function addTestMinion(ledger: Ledger, name: string): UsableMinion {
	const minion = toBrand<MinionId>(name);
	const record: MinionRecord = {
		life: createIncarnationId(minion, 1), minion, bornAtMs: 1, address: `${name}:80`, worker: toBrand<WorkerId>(`worker-${name}`), pool: testPool, dataCentre: toBrand('dc'), rack: undefined, labels: [], capacity: {cpuMillicores: 8000, memoryMb: 10_000, gpus: 0},
	};
	applyLedgerCommand(ledger, {type: 'minion/joined', term: 0, record}, parse);
	return {
		record, runLimit: Number.POSITIVE_INFINITY, isDrainingSoon: false, isSuspect: false,
	};
}

/** Returns a specification of steps that ask for 2 cores a task, unless they say otherwise. */
export function createTestSpecification(...steps: ReadonlyArray<Partial<StepSpecification>>): JobSpecification {
	return {
		payload: '',
		schedule: undefined,
		steps: steps.map(step => ({
			...plainStep, request: {cpuMillicores: 2000, memoryMb: 100, gpus: 0}, estimateMs: 1000, ...step,
		})),
	};
}

/** Accepts a job. Returns its id. */
export function acceptTestJob(ledger: Ledger, name: string, {specification, acceptedAtMs = testNowMs}: {readonly specification: JobSpecification; readonly acceptedAtMs?: number}): JobId {
	const id = toBrand<JobId>(name.padStart(16, '0'));
	applyLedgerCommand(ledger, {
		type: 'job/accepted',
		term: 0,
		job: {
			id, queue: toBrand<QueueId>('q'), pool: testPool, team: undefined, priority: 0, maximumAttempts: 3, stretchFactor: 1.6, startLatencyMs: 600, advice: undefined, specification, acceptedAtMs,
		},
	}, parse);
	return id;
}

/** Accepts a job of one step. Returns its id. */
export function addTestJob(ledger: Ledger, name: string, step: Partial<StepSpecification>): JobId {
	return acceptTestJob(ledger, name, {specification: createTestSpecification(step)});
}

/** Assigns runs without planning. */
export function assignTestRuns(ledger: Ledger, runs: readonly RunAssignment[]): void {
	applyLedgerCommand(ledger, {type: 'runs/assigned', term: 0, runs}, parse);
}

/** Ends assigned runs. */
export function endTestRuns(ledger: Ledger, runs: readonly RunAssignment[], ending: RunEnding): void {
	applyLedgerCommand(ledger, {
		type: 'runs/ended', term: 0, atMs: testNowMs, ends: runs.map(run => ({...run, ending, checkpoint: ''})),
	}, parse);
}

/** Returns the times of waves for a monotonic clock that has always shown the same as the time of day in the ledger. */
export function createTestTimes(ledger: Ledger): MaintenanceTimes {
	return {
		getBegunAtMs: (wave, worker) => ledger.waves.get(wave)?.ordered.get(worker)?.begunAtMs ?? Number.NaN,
		getDueAtMs: ({dueAtMs}) => dueAtMs,
	};
}
