import {
	toBrand, type ChangeId, type PoolId, type TeamId, type WallClockMs, type WaveId, type WorkerId,
} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {applyControlCommand} from './apply-control-command.js';
import {maximumAppliedChanges, appliedChangeSlack} from './constants.js';
import {createControlState} from './create-control-state.js';
import {
	findKeyBySecretHash, getHistory, getPoolOf, getTeamLimit, getTeamWeight, getVersionedRecord, listPools,
} from './selectors.js';
import {
	createDelete, createExampleState, createPut, exampleRecords, exampleWorker, propertyParameters,
} from './test-records.js';
import type {ControlRecord, ControlState, OperatorCommand} from './types.js';

function createPool(maximumUnavailableHosts: number, id = 'counters'): ControlRecord {
	return {
		kind: 'pool', id: toBrand(id), maximumUnavailableHosts, isSpare: false,
	};
}

test('of two writes with equal numbers one wins and the other is shown the winner', () => {
	const state = createExampleState();
	const first = applyControlCommand(state, createPut('left', createPool(3), 1));
	const second = applyControlCommand(first.state, createPut('right', createPool(4), 1));
	expect(first.answer).toMatchObject({type: 'accepted', changes: [{revision: 2, outcome: 'updated'}]});
	expect(second.answer).toMatchObject({
		type: 'conflict', conflicts: [{expectedRevision: 1, current: {revision: 2, changeId: 'left', record: createPool(3)}}],
	});
	expect(listPools(second.state)[0]).toEqual(createPool(3));
});

test('a resend gets the first answer and another change under the same id is told apart', () => {
	const first = applyControlCommand(createControlState(), createPut('a', createPool(3), 0));
	const later = applyControlCommand(first.state, createPut('b', createPool(4), 1));
	const resent = applyControlCommand(later.state, createPut('a', createPool(3), 0));
	expect(resent).toEqual({state: later.state, answer: first.answer});
	expect(applyControlCommand(later.state, createPut('a', createPool(5), 0)).answer).toEqual({type: 'changeIdReused'});
});

test('every mention of a missing record is found with its place', () => {
	const answers = exampleRecords.map(record =>
		applyControlCommand(createControlState(), createPut('x', record)).answer);
	expect(answers.filter(({type}) => type === 'invalid')).toMatchSnapshot();
});

test('a record is not deleted while another names it or a host belongs to it', () => {
	const state = createExampleState();
	expect([
		applyControlCommand(state, createDelete('x', 'pool', 'counters')).answer,
		applyControlCommand(state, createDelete('x', 'team', 'olinda')).answer,
		applyControlCommand(state, createDelete('x', 'worker', 'w-1')).answer,
		applyControlCommand(state, createDelete('x', 'pool', 'nowhere')).answer,
	]).toMatchSnapshot();
});

test('several writes are accepted together or not at all', () => {
	const state = createExampleState();
	const base = {type: 'control/writeRecords', actor: 'ana', acceptedAtMs: toBrand<WallClockMs>(5)} as const;
	const writes = [
		{type: 'put', record: {kind: 'team', id: toBrand<TeamId>('natal'), displayName: 'Natal'}},
		{type: 'put', record: {kind: 'share', id: toBrand<TeamId>('natal'), weight: 2}},
	] as const;
	const accepted = applyControlCommand(state, {...base, changeId: toBrand<ChangeId>('both'), writes});
	expect(accepted.answer.type).toBe('accepted');
	const dangling = {type: 'put', record: {kind: 'limit', id: toBrand<TeamId>('macau'), maximumRunningJobs: 1}} as const;
	const refused = applyControlCommand(state, {...base, changeId: toBrand<ChangeId>('x'), writes: [...writes, dangling]});
	expect(refused.answer).toMatchObject({type: 'invalid', findings: [{path: '/id'}]});
	expect(refused.state.records).toBe(state.records);
});

test('a withdrawn key is found no more, and its secret may not be granted twice', () => {
	const state = createExampleState();
	const hash = 'ab'.repeat(32);
	expect(findKeyBySecretHash(state, hash)?.id).toBe('olinda-1');
	const copy: ControlRecord = {
		kind: 'key', id: toBrand('copy'), team: toBrand('olinda'), secretHash: hash,
	};
	expect(applyControlCommand(state, createPut('x', copy)).answer.type).toBe('invalid');
	const withdrawn = applyControlCommand(state, createDelete('y', 'key', 'olinda-1')).state;
	expect(findKeyBySecretHash(withdrawn, hash)).toBeUndefined();
	expect(getHistory(withdrawn, {kind: 'key', id: 'olinda-1'}).map(({revision, record}) => [revision, record?.kind]))
		.toEqual([[1, 'key'], [2, undefined]]);
});

test('a worker that comes back starts at its last owner under a higher epoch', () => {
	const worker = toBrand<WorkerId>('w-1');
	let {state} = applyControlCommand(createExampleState(), createDelete('a', 'wave', 'autumn'));
	state = applyControlCommand(state, createDelete('b', 'worker', 'w-1')).state;
	expect(getPoolOf(state, worker)).toBeUndefined();
	const record: ControlRecord = {...exampleWorker, homePool: toBrand<PoolId>('ledgers')};
	state = applyControlCommand(state, createPut('c', record)).state;
	expect(state.ownership.get(worker)).toEqual({worker, epoch: 2, phase: {type: 'member', pool: 'counters'}});
});

test('an order to a wave renews its record, and a resend of it changes nothing more', () => {
	const order = {
		type: 'control/setWaveDesired', changeId: toBrand<ChangeId>('go'), actor: 'ana', acceptedAtMs: toBrand<WallClockMs>(5), wave: toBrand<WaveId>('autumn'), desired: 'aborted',
	} as const;
	const first = applyControlCommand(createExampleState(), order);
	expect(first.answer).toMatchObject({type: 'accepted', changes: [{revision: 2, outcome: 'updated'}]});
	expect(applyControlCommand(first.state, order)).toEqual({state: first.state, answer: first.answer});
	const lost = applyControlCommand(first.state, {...order, changeId: toBrand<ChangeId>('x'), wave: toBrand<WaveId>('none')});
	expect(lost.answer).toEqual({type: 'notFound', kind: 'wave', id: 'none'});
});

test('a worker is not deleted while it is on its way to another pool', () => {
	const {worker, pool} = {worker: exampleWorker.id, pool: toBrand<PoolId>('counters')};
	const phase = {type: 'releasing', pool, to: toBrand<PoolId>('ledgers')} as const;
	const {state} = applyControlCommand(createExampleState(), createDelete('a', 'wave', 'autumn'));
	const moving = {...state, ownership: state.ownership.set(worker, {worker, epoch: 2, phase})};
	expect(applyControlCommand(moving, createDelete('x', 'worker', worker)).answer).toEqual({
		type: 'invalid', findings: [{path: '', message: 'worker w-1 is on its way from pool counters to pool ledgers'}],
	});
});

test('a worker\'s new home is a known pool and leaves its present owner to a move', () => {
	const order = {
		type: 'control/setHomePool', changeId: toBrand<ChangeId>('go'), actor: 'ana', acceptedAtMs: toBrand<WallClockMs>(5), worker: exampleWorker.id,
	} as const;
	const moved = applyControlCommand(createExampleState(), {...order, pool: toBrand<PoolId>('ledgers')});
	expect(moved.answer.type).toBe('accepted');
	expect(getPoolOf(moved.state, exampleWorker.id)).toBe('counters');
	const refused = applyControlCommand(createExampleState(), {...order, pool: toBrand<PoolId>('nowhere')});
	expect(refused.answer).toEqual({type: 'invalid', findings: [{path: '/homePool', message: 'there is no pool nowhere'}]});
});

test('the answers of the latest changes are kept, within a bound', () => {
	let state = createExampleState();
	for (let index = 0; index < maximumAppliedChanges + (2 * appliedChangeSlack); index += 1) {
		state = applyControlCommand(state, createPut(`pool-${index}`, createPool(index))).state;
		expect(state.changes.size).toBeLessThan(maximumAppliedChanges + appliedChangeSlack);
	}

	const last = maximumAppliedChanges + (2 * appliedChangeSlack) - 1;
	const oldestKept = last - maximumAppliedChanges + 1;
	for (const index of [last, oldestKept]) {
		expect(applyControlCommand(state, createPut(`pool-${index}`, createPool(index))).state).toBe(state);
	}
});

test('shares and limits have defaults', () => {
	const state = createExampleState();
	expect([getTeamWeight(state, toBrand('olinda')), getTeamLimit(state, toBrand('olinda'))]).toEqual([3, 40]);
	expect([getTeamWeight(state, toBrand('natal')), getTeamLimit(state, toBrand('natal'))]).toEqual([1, undefined]);
});

const anyCommand: fc.Arbitrary<OperatorCommand> = fc.record({
	change: fc.nat(30),
	index: fc.nat(exampleRecords.length - 1),
	bound: fc.nat(5),
	isDelete: fc.boolean(),
	expected: fc.option(fc.nat(3), {nil: undefined}),
}).map(({change, index, bound, isDelete, expected}) => {
	const record = exampleRecords[index] ?? createPool(bound);
	if (isDelete) {
		return createDelete(`c${change}`, record.kind, record.id);
	}

	const next = record.kind === 'pool' ? createPool(bound, record.id) : record;
	return createPut(`c${change}`, next, expected);
});

function checkInvariants(before: ControlState, after: ControlState): void {
	for (const record of exampleRecords) {
		const address = {kind: record.kind, id: record.id};
		const revision = getHistory(after, address).at(-1)?.revision ?? 0;
		const growth = revision - (getHistory(before, address).at(-1)?.revision ?? 0);
		expect(growth === 0 || growth === 1).toBe(true);
		const current = getVersionedRecord(after, address);
		expect(current === undefined || current.revision === revision).toBe(true);
	}

	expect(after.ownership.has(toBrand('w-1'))).toBe(getVersionedRecord(after, {kind: 'worker', id: 'w-1'}) !== undefined);
}

test('under any commands revisions grow by one, hosts have one owner and each change id has one answer', () => {
	fc.assert(fc.property(fc.array(anyCommand, {maxLength: 60}), commands => {
		let state = createControlState();
		const answers = new Map<string, unknown>();
		for (const command of commands) {
			const step = applyControlCommand(state, command);
			checkInvariants(state, step.state);
			const first = answers.get(command.changeId) ?? step.answer;
			answers.set(command.changeId, first);
			expect(step.answer).toEqual(step.answer.type === 'changeIdReused' ? {type: 'changeIdReused'} : first);
			state = step.state;
		}
	}), propertyParameters);
});
