import {toBrand} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {applyControlCommand} from '../apply-control-command.js';
import {
	createDelete, createExampleState, createPut, exampleRecords, propertyParameters,
} from '../test-records.js';
import type {ControlState} from '../types.js';
import {restoreControlState} from './restore-control-state.js';
import {serializeControlState} from './serialize-control-state.js';

function toJsonAndBack(state: ControlState): unknown {
	const text = JSON.stringify(serializeControlState(state));
	return JSON.parse(text);
}

function createUsedState(): ControlState {
	let state = createExampleState();
	for (const command of [
		createDelete('d1', 'wave', 'autumn'),
		createDelete('d2', 'worker', 'w-1'),
		createDelete('d3', 'pool', 'counters'),
		createPut('p1', {kind: 'share', id: toBrand('olinda'), weight: 9}, 7),
		createPut('p2', {kind: 'limit', id: toBrand('olinda'), maximumRunningJobs: 9}, 1),
	]) {
		state = applyControlCommand(state, command).state;
	}

	return applyControlCommand(state, {
		type: 'control/setView', dataCentre: toBrand('recife'), expectedEpoch: 0, members: [toBrand('node-1')],
	}).state;
}

test('a restored state is the state that was serialized, and resends still get their first answer', () => {
	const state = createUsedState();
	const restored = restoreControlState(toJsonAndBack(state));
	expect(restored.findings).toEqual([]);
	expect(serializeControlState(restored.state)).toEqual(serializeControlState(state));
	const resent = createPut('p1', {kind: 'share', id: toBrand('olinda'), weight: 9}, 7);
	expect(applyControlCommand(restored.state, resent).answer).toEqual(applyControlCommand(state, resent).answer);
	expect(applyControlCommand(restored.state, resent).answer.type).toBe('conflict');
});

test('what cannot be taken over is left out and reported with its place', () => {
	const {records, ...rest} = serializeControlState(createExampleState());
	const damaged = records.map(item => item.record.kind === 'pool' && item.record.id === 'counters'
		? {...item, revision: 'x'}
		: item);
	const {state, findings} = restoreControlState({...rest, records: damaged, views: 7});
	expect(findings).toMatchSnapshot();
	expect([...state.records].map(([kind, items]) => [kind, [...items.keys()]])).toMatchSnapshot();
	expect(state.ownership.size).toBe(0);
});

test('fields of a newer version are dropped and those of an older one get defaults', () => {
	const origin = {revision: 4, changedAtMs: 1, changedBy: 'ana'};
	const {state, findings} = restoreControlState({
		records: [{
			record: {
				kind: 'pool', id: 'counters', maximumUnavailableHosts: 1, colour: 'grey',
			},
			...origin,
		}],
	});
	expect(findings).toEqual([]);
	expect(state.records.get('pool')?.get('counters')?.record).toEqual({
		kind: 'pool', id: 'counters', maximumUnavailableHosts: 1, isSpare: false,
	});
	const [pool] = exampleRecords;
	const step = pool === undefined ? undefined : applyControlCommand(state, createPut('a', pool, 4));
	expect(step?.answer).toMatchObject({type: 'accepted', changes: [{revision: 5}]});
});

test('any document is taken to a state that serves and that restores without findings', () => {
	const fields = serializeControlState(createUsedState());
	const similarDocument = fc.record(Object.fromEntries(Object.entries(fields).map(([name, value]) =>
		[name, fc.oneof(fc.constant<unknown>(value), fc.jsonValue(), fc.array(fc.jsonValue()))])));
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), similarDocument), document => {
		const {state} = restoreControlState(document);
		expect(restoreControlState(toJsonAndBack(state)).findings).toEqual([]);
		const [pool] = exampleRecords;
		expect(pool !== undefined && applyControlCommand(state, createPut('new', pool)).answer.type).toBe('accepted');
	}), propertyParameters);
});
