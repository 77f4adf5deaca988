import {toBrand, type WallClockMs, type WaveId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {applyControlCommand} from '../apply-control-command.js';
import {restoreControlState} from '../snapshot/restore-control-state.js';
import {serializeControlState} from '../snapshot/serialize-control-state.js';
import {createExampleState, createPut} from '../test-records.js';
import type {ControlCommand, ControlState} from '../types.js';

const atMs = toBrand<WallClockMs>(5000);
const wave = toBrand<WaveId>('autumn');

function startWave(): ControlState {
	const ordered = applyControlCommand(createExampleState(), createPut('go', {
		kind: 'wave', id: wave, pools: [toBrand('counters')], desired: 'running', maximumHostsAside: 1,
	}));
	const started = applyControlCommand(ordered.state, {type: 'waves/start', wave, atMs});
	expect(started.answer).toEqual({type: 'applied'});
	return started.state;
}

test('a wave takes its hosts from the records and is restored from a snapshot', () => {
	const state = startWave();
	expect(state.waves?.waves[0]?.hosts.map(({worker}) => worker)).toEqual(['w-1']);
	const text = JSON.stringify(serializeControlState(state));
	const restored = restoreControlState(JSON.parse(text));
	expect(restored.findings).toEqual([]);
	expect(restored.state.waves).toEqual(state.waves);
});

test('a rejected command and a command of an unknown type leave the state unchanged', () => {
	const state = startWave();
	const again = applyControlCommand(state, {type: 'waves/start', wave, atMs});
	expect(again).toMatchObject({answer: {type: 'rejected', reason: 'alreadyStarted'}});
	expect(again.state).toBe(state);
	for (const newer of [{type: 'orbits/start'}, {type: 'control/paintPool', changeId: 'c', actor: 'ana'}]) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the type does not include commands of a newer leader
		const unknown = applyControlCommand(state, newer as unknown as ControlCommand);
		expect(unknown).toEqual({
			state, answer: {type: 'rejected', reason: 'unknownCommand', message: `unknown command ${newer.type}`},
		});
	}
});

test('an invalid state of a part is reported and not restored', () => {
	const document = {...serializeControlState(startWave()), parts: {waves: {waves: 7}}};
	const {state, findings} = restoreControlState(document);
	expect(state.waves).toBeUndefined();
	expect(findings.map(({path}) => path)).toEqual(['/parts/waves/waves']);
});
