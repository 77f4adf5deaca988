/** Records and commands that the tests of this part share. */
import process from 'node:process';
import {toBrand, type ChangeId, type WallClockMs} from '@samphiremill/common';
import {applyControlCommand} from './apply-control-command.js';
import {createControlState} from './create-control-state.js';
import type {
	ControlRecord, ControlState, DeleteRecordCommand, PutRecordCommand, RecordKind, WorkerRecord,
} from './types.js';

/** The seed of the properties, and how many cases each tries. */
export const propertyParameters = {
	seed: Number(process.env.SAMPHIREMILL_SEED ?? 3),
	numRuns: Number(process.env.SAMPHIREMILL_RUNS ?? 300),
} as const;

/** A worker of the pool `counters`. */
export const exampleWorker: WorkerRecord = {
	kind: 'worker', id: toBrand('w-1'), dataCentre: toBrand('recife'), rack: toBrand('r-1'), cores: 32, memoryMb: 131_072, accelerators: 1, homePool: toBrand('counters'),
};

/** One record of each kind, each after those that it names. */
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

/**
 * @param id - The change id.
 * @param record - The record to write.
 * @param expectedRevision - The revision that the writer saw.
 * @returns The command.
 */
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

/**
 * @param changeId - The change id.
 * @param kind - The record's kind.
 * @param id - The record's id.
 * @returns The command.
 */
export function createDelete(changeId: string, kind: RecordKind, id: string): DeleteRecordCommand {
	return {
		type: 'control/deleteRecord', changeId: toBrand<ChangeId>(changeId), actor: 'ana', acceptedAtMs: toBrand<WallClockMs>(2000), kind, id,
	};
}

/** @returns The state in which every example record is written. */
export function createExampleState(): ControlState {
	let state = createControlState();
	for (const [index, record] of exampleRecords.entries()) {
		state = applyControlCommand(state, createPut(`change-${index}`, record)).state;
	}

	return state;
}
