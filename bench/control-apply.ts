/**
 * Measures the control state machine at the fleet size that is expected in two years: commands per second, memory, and
 * the cost of snapshots.
 *
 * Run with `node --expose-gc bench/dist/control-apply.js` after `npm run build`.
 */
import process from 'node:process';
import {
	createSeededRandom, toBrand, type ChangeId, type PoolId, type TeamId, type WallClockMs,
} from '@samphiremill/common';
import {
	applyControlCommand, createControlState, restoreControlState, serializeControlState, type ControlRecord,
	type ControlState,
} from '@samphiremill/core';

const poolCount = 25;
const teamCount = 57;
const keysPerTeam = 3;
const queueCount = 50;
const workerCount = 620;
const dataCentreCount = 11;
const workersPerRack = 4;
const changesPerDay = 1800;
const days = 10;
const seed = 1;
const bytesPerKb = 1024;

type AppliedChanges = {
	readonly state: ControlState;
	readonly changeCount: number;
};

function measureHeapKb(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed / bytesPerKb;
}

function createHash(index: number): string {
	return index.toString(16).padStart(64, '0');
}

function listTeamRecords(index: number): readonly ControlRecord[] {
	const id = toBrand<TeamId>(`team-${index}`);
	const keys = Array.from({length: keysPerTeam}, (_, key): ControlRecord => ({
		kind: 'key', id: toBrand(`${id}-key-${key}`), team: id, secretHash: createHash((index * keysPerTeam) + key),
	}));
	return [
		{kind: 'team', id, displayName: `Parish ${index}`},
		{kind: 'share', id, weight: 1 + (index % 5)},
		{kind: 'limit', id, maximumRunningJobs: 100 + index},
		...keys,
	];
}

function createWorker(index: number): ControlRecord {
	return {
		kind: 'worker',
		id: toBrand(`worker-${index}`),
		dataCentre: toBrand(`data-centre-${index % dataCentreCount}`),
		rack: toBrand(`rack-${Math.floor(index / workersPerRack)}`),
		cores: 32,
		memoryMb: 131_072,
		accelerators: 0,
		homePool: toBrand<PoolId>(`pool-${index % poolCount}`),
	};
}

function listFleetRecords(): readonly ControlRecord[] {
	const pools = Array.from({length: poolCount}, (_, index): ControlRecord => ({
		kind: 'pool', id: toBrand(`pool-${index}`), maximumUnavailableHosts: 2, isSpare: index === 0,
	}));
	const queues = Array.from({length: queueCount}, (_, index): ControlRecord => ({
		kind: 'queue', id: toBrand(`queue-${index}`), pool: toBrand(`pool-${index % poolCount}`), access: 'keyed', maximumBodyBytes: 65_536, defaultDeadlineMs: 1400,
	}));
	const teams = Array.from({length: teamCount}, (_, index) => listTeamRecords(index));
	const workers = Array.from({length: workerCount}, (_, index) => createWorker(index));
	return [...pools, ...teams.flat(), ...queues, ...workers];
}

function applyRecord({state, changeCount}: AppliedChanges, record: ControlRecord): AppliedChanges {
	const step = applyControlCommand(state, {
		type: 'control/putRecord',
		changeId: toBrand<ChangeId>(`change-${changeCount.toString(16).padStart(32, '0')}`),
		actor: 'bench',
		acceptedAtMs: toBrand<WallClockMs>(changeCount),
		record,
	});
	if (step.answer.type !== 'accepted') {
		throw new Error(JSON.stringify(step.answer));
	}

	return {state: step.state, changeCount: changeCount + 1};
}

/** Creates a change with the usual mix of operators: mostly shares, limits and keys, some pools and workers. */
function createChange(random: () => number, sequence: number): ControlRecord {
	const team = toBrand<TeamId>(`team-${Math.floor(random() * teamCount)}`);
	const kindDraw = random();
	if (kindDraw < 0.3) {
		return {kind: 'share', id: team, weight: 1 + (sequence % 97)};
	}

	if (kindDraw < 0.6) {
		return {kind: 'limit', id: team, maximumRunningJobs: sequence};
	}

	if (kindDraw < 0.8) {
		const key = Math.floor(random() * keysPerTeam);
		return {
			kind: 'key', id: toBrand(`${team}-key-${key}`), team, secretHash: createHash(1_000_000 + sequence),
		};
	}

	if (kindDraw < 0.9) {
		return {
			kind: 'pool', id: toBrand(`pool-${Math.floor(random() * poolCount)}`), maximumUnavailableHosts: sequence, isSpare: false,
		};
	}

	const worker = createWorker(Math.floor(random() * workerCount));
	return worker.kind === 'worker' ? {...worker, memoryMb: sequence + 1} : worker;
}

function measureDuration<Value>(work: () => Value): {readonly value: Value; readonly durationMs: number} {
	const startMs = performance.now();
	const value = work();
	return {value, durationMs: performance.now() - startMs};
}

function printFigure(name: string, value: number, unit: string): void {
	console.log(`${name.padEnd(48)} ${value.toFixed(value < 100 ? 2 : 0).padStart(12)} ${unit}`);
}

function applyRecords(start: AppliedChanges, records: readonly ControlRecord[]): AppliedChanges {
	let applied = start;
	for (const record of records) {
		applied = applyRecord(applied, record);
	}

	return applied;
}

const fleet = listFleetRecords();
const emptyHeapKb = measureHeapKb();
const filled = measureDuration(() => applyRecords({state: createControlState(), changeCount: 0}, fleet));
const filledHeapKb = measureHeapKb();
printFigure('records', fleet.length, '');
printFigure('fill: commands a second', fleet.length / filled.durationMs * 1000, '/s');
printFigure('fill: heap of the state', filledHeapKb - emptyHeapKb, 'KB');

const random = createSeededRandom(seed);
let current = filled.value;

/** Applies one day's changes and drops the previous state, so that the measured heap holds only one state. */
function runDay(day: number): number {
	const start = current;
	const changes = Array.from({length: changesPerDay}, (_, index) => createChange(random, (day * changesPerDay) + index));
	const {value, durationMs} = measureDuration(() => applyRecords(start, changes));
	current = value;
	return durationMs;
}

for (let day = 1; day <= days; day += 1) {
	const durationMs = runDay(day);
	if (day === 1 || day % 5 === 0) {
		printFigure(`day ${day}: commands a second`, changesPerDay / durationMs * 1000, '/s');
		printFigure(`day ${day}: processor time of the day's changes`, durationMs, 'ms');
		printFigure(`day ${day}: heap of the state`, measureHeapKb() - emptyHeapKb, 'KB');
	}
}

const serialized = measureDuration(() => JSON.stringify(serializeControlState(current.state)));
const restored = measureDuration(() => restoreControlState(JSON.parse(serialized.value)));
const recordBytes = JSON.stringify(serializeControlState(current.state).records).length;
printFigure('snapshot: size', serialized.value.length / bytesPerKb, 'KB');
printFigure('snapshot: bytes a record, without history', recordBytes / fleet.length, 'bytes');
printFigure('snapshot: write', serialized.durationMs, 'ms');
printFigure('snapshot: restore', restored.durationMs, 'ms');
printFigure('snapshot: findings', restored.value.findings.length, '');
