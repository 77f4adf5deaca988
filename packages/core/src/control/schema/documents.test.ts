import {
	toBrand, type PoolId, type QueueId, type TeamId, type WallClockMs, type WaveId,
} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {applyControlCommand} from '../apply-control-command.js';
import {recordKinds} from '../constants.js';
import {getVersionedRecord} from '../selectors.js';
import {
	createExampleState, createPut, exampleRecords, exampleWorker, propertyParameters,
} from '../test-records.js';
import type {ControlRecord, ControlState, PutV1DocumentCommand} from '../types.js';
import {readDocument, getDocument} from './documents.js';

const id = fc.oneof(fc.string(), fc.constantFrom('w-1', 'olinda'));
const positive = fc.integer({min: 1, max: 1_000_000});

const anyQueue = fc.record({
	kind: fc.constant('queue' as const),
	id: fc.constant(toBrand<QueueId>('cloths')),
	pool: fc.constant(toBrand<PoolId>('counters')),
	access: fc.constantFrom('open' as const, 'keyed' as const),
	maximumBodyBytes: positive,
	defaultDeadlineMs: positive,
});
const anyWorker = fc.record({cores: positive, memoryMb: positive, accelerators: fc.nat(8)})
	.map(fields => ({...exampleWorker, ...fields}));
const anyPool = fc.record({
	kind: fc.constant('pool' as const), id: fc.constant(toBrand<PoolId>('counters')), maximumUnavailableHosts: fc.nat(9), isSpare: fc.boolean(),
});
const anyShare = fc.record({
	kind: fc.constant('share' as const), id: fc.constant(toBrand<TeamId>('olinda')), weight: fc.double({min: 0.01, max: 1000, noNaN: true}),
});
const anyWave = fc.record({
	kind: fc.constant('wave' as const),
	id: fc.constant(toBrand<WaveId>('autumn')),
	pools: fc.constantFrom([toBrand<PoolId>('counters')], [toBrand<PoolId>('ledgers'), toBrand<PoolId>('counters')]),
	workers: fc.constant([exampleWorker.id]),
	desired: fc.constantFrom('running' as const, 'paused' as const, 'aborted' as const),
	maximumHostsAside: positive,
});
const anyRecord: fc.Arbitrary<ControlRecord> = fc.oneof(anyQueue, anyWorker, anyPool, anyShare, anyWave);

function writeRecord(record: ControlRecord): ControlState {
	const step = applyControlCommand(createExampleState(), createPut('x', record));
	expect(step.answer.type).toBe('accepted');
	return step.state;
}

function createV1Put(document: unknown): PutV1DocumentCommand {
	const read = readDocument(document);
	if (!read.ok || read.value.apiVersion !== 'samphiremill/v1') {
		throw new Error(JSON.stringify(read));
	}

	return {
		type: 'control/putV1Document', changeId: toBrand('edit'), actor: 'ana', acceptedAtMs: toBrand<WallClockMs>(5), document: read.value.document,
	};
}

test('a v2 document is parsed to the record that it was made from', () => {
	fc.assert(fc.property(anyRecord, record => {
		const state = writeRecord(record);
		const current = getDocument({
			state, apiVersion: 'samphiremill/v2', kind: record.kind, id: record.id,
		});
		const read = readDocument(current?.document);
		expect(read).toEqual({ok: true, value: {apiVersion: 'samphiremill/v2', record}});
	}), propertyParameters);
});

test('writing back a v1 document as it was read changes no record', () => {
	fc.assert(fc.property(anyRecord, record => {
		const state = writeRecord(record);
		const kind = record.kind === 'share' ? 'team' : record.kind;
		const current = getDocument({
			state, apiVersion: 'samphiremill/v1', kind, id: record.id,
		});
		const step = applyControlCommand(state, createV1Put(current?.document));
		expect(step.answer.type).toBe('accepted');
		expect(step.state.records).toBe(state.records);
	}), propertyParameters);
});

test('an edit of one v1 field keeps values that v1 cannot express, also after a concurrent v2 edit', () => {
	fc.assert(fc.property(anyQueue, anyQueue, positive, (before, concurrentEdit, seconds) => {
		const state = writeRecord(before);
		const current = getDocument({
			state, apiVersion: 'samphiremill/v1', kind: 'queue', id: 'cloths',
		});
		const edit = createV1Put({...current?.document, timeoutSeconds: seconds});
		const concurrentState = applyControlCommand(state, createPut('y', concurrentEdit)).state;
		const step = applyControlCommand(concurrentState, edit);
		const record = getVersionedRecord(step.state, {kind: 'queue', id: 'cloths'})?.record;
		expect(record?.access).toBe(concurrentEdit.access);
		expect(Math.ceil((record?.defaultDeadlineMs ?? 0) / 1000)).toBe(seconds);
	}), propertyParameters);
});

test('a v1 team includes its share and limit, and omitting the limit deletes it', () => {
	const state = createExampleState();
	const current = getDocument({
		state, apiVersion: 'samphiremill/v1', kind: 'team', id: 'olinda',
	});
	expect(current).toMatchSnapshot();
	const {limit, ...rest} = {limit: undefined, ...current?.document};
	expect(limit).toBe(40);
	const step = applyControlCommand(state, {...createV1Put(rest), expectedRevisions: [1, 1, 1]});
	expect(step.answer).toMatchSnapshot();
	expect(getVersionedRecord(step.state, {kind: 'limit', id: 'olinda'})).toBeUndefined();
	const stale = applyControlCommand(step.state, {...createV1Put(rest), changeId: toBrand('later'), expectedRevisions: [1, 1, 1]});
	expect(stale.answer).toMatchObject({type: 'conflict', conflicts: [{kind: 'limit', expectedRevision: 1}]});
});

test('a finding on a reference in a v1 document has the path of the v1 field', () => {
	const document = {
		apiVersion: 'samphiremill/v1', kind: 'worker', name: 'w-9', dataCentre: 'recife', rack: 'r-1', cores: 1, memoryGb: 1, pool: 'nowhere',
	};
	expect(applyControlCommand(createExampleState(), createV1Put(document)).answer).toEqual({
		type: 'invalid', findings: [{path: '/pool', message: 'there is no pool nowhere'}],
	});
});

test('every finding of a document is reported with its path', () => {
	expect([
		readDocument({
			apiVersion: 'samphiremill/v2', kind: 'queue', id: 'Cloths', pool: 7, extra: 1,
		}),
		readDocument({apiVersion: 'samphiremill/v1', kind: 'share', name: 'x'}),
		readDocument({apiVersion: 'samphiremill/v3'}),
		readDocument([]),
	]).toMatchSnapshot();
});

test('each record kind is available as a v1 document if v1 has the kind', () => {
	const state = createExampleState();
	const ids = new Map(exampleRecords.map(record => [record.kind, record.id]));
	expect(recordKinds.map(kind => getDocument({
		state, apiVersion: 'samphiremill/v1', kind, id: ids.get(kind) ?? '',
	})?.document)).toMatchSnapshot();
});

test('readDocument does not throw for any value', () => {
	const similarDocument = fc.record({
		apiVersion: fc.constantFrom('samphiremill/v1', 'samphiremill/v2'), kind: fc.constantFrom(...recordKinds), id, name: id, pool: fc.jsonValue(),
	});
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), similarDocument), document => {
		expect(typeof readDocument(document).ok).toBe('boolean');
	}), propertyParameters);
});
