/** Records and commands shared by the tests of the control state machine. */
import process from 'node:process';
import {toBrand, type ChangeId, type WallClockMs} from '@samphiremill/common';
import {applyControlCommand} from './apply-control-command.js';
import {createControlState} from './create-control-state.js';
import type {
	ControlRecord, ControlState, DeleteRecordCommand, PutRecordCommand, RecordKind, WorkerRecord,
} from './types.js';

/** The seed of the property tests and the number of cases for each. */
export const propertyParameters = {
	seed: Number(process.env.SAMPHIREMILL_SEED ?? 3),
	numRuns: Number(process.env.SAMPHIREMILL_RUNS ?? 300),
} as const;

export const exampleWorker: WorkerRecord = {
	kind: 'worker', id: toBrand('w-1'), dataCentre: toBrand('recife'), rack: toBrand('r-1'), cores: 32, memoryMb: 131_072, accelerators: 1, homePool: toBrand('counters'),
};

/** At least one record of each kind. A record comes after those that it refers to. */
export const exampleRecords: readonly ControlRecord[] = [
	{
		kind: 'pool', id: toBrand('counters'), maximumUnavailableHosts: 2, isSpare: false,
	},
	{
		kind: 'pool', id: toBrand('ledgers'), maximumUnavailableHosts: 1, isSpare: true,
	},
	{kind: 'team', id: toBrand('olinda'), displayName: 'Parish of Olinda'},
	{kind: 'share', id: toBrand('olinda'), weight: 3},
	{kind: 'limit', id: toBrand('olinda'), maximumRunningJobs: 40},
	{
		kind: 'key', id: toBrand('olinda-1'), team: toBrand('olinda'), secretHash: 'ab'.repeat(32),
	},
	{
		kind: 'queue', id: toBrand('cloths'), pool: toBrand('counters'), access: 'keyed', maximumBodyBytes: 65_536, defaultDeadlineMs: 1500,
	},
	exampleWorker,
	{
		kind: 'wave', id: toBrand('autumn'), pools: [toBrand('counters'), toBrand('ledgers')], workers: [toBrand('w-1')], desired: 'aborted', maximumHostsAside: 2,
	},
];

export function createPut(id: string, record: ControlRecord, expectedRevision?: number): PutRecordCommand {
	return {
		type: 'control/putRecord',
		changeId: toBrand<ChangeId>(id),
		actor: 'ana',
		acceptedAtMs: toBrand<WallClockMs>(1000),
		record,
		...(expectedRevision !== undefined && {expectedRevision}),
	};
}

export function createDelete(changeId: string, kind: RecordKind, id: string): DeleteRecordCommand {
	return {
		type: 'control/deleteRecord', changeId: toBrand<ChangeId>(changeId), actor: 'ana', acceptedAtMs: toBrand<WallClockMs>(2000), kind, id,
	};
}

/** Creates the state with all of `exampleRecords`. */
export function createExampleState(): ControlState {
	let state = createControlState();
	for (const [index, record] of exampleRecords.entries()) {
		state = applyControlCommand(state, createPut(`change-${index}`, record)).state;
	}

	return state;
}
