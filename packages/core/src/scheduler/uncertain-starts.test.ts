import {toBrand, type JobId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {applyLedgerCommand} from './apply-ledger-command.js';
import {maximumEndedMinions} from './constants.js';
import {createLedger} from './ledger.js';
import {createLedgerSnapshot, restoreLedger} from './snapshot.js';
import {
	addTestJob, addTestMinion, assignTestRuns, endTestRuns,
} from './test-fleet.js';
import type {
	IncarnationId, Ledger, RunAssignment, RunKey, StartReport, TaskId,
} from './types.js';

const parse = () => undefined;
const toKey = (text: string) => toBrand<RunKey>(text);

const createRuns = (job: JobId, life: IncarnationId): readonly RunAssignment[] => [0, 1, 2].map(index => ({task: toBrand<TaskId>(`${job}.0.0.${index}`), run: 1, life}));

const report = (ledger: Ledger, startReport: StartReport) => applyLedgerCommand(ledger, {
	type: 'runs/assigned', term: 0, runs: [], keepsLimits: true, startReport,
}, parse);

// Guards against a next leader that takes a start for certain that its predecessor had not confirmed (TWICE).
test('a start stays uncertain until a leader that knew of its assignment does not list it, or its run ends', () => {
	const ledger = createLedger();
	const {record: {life}} = addTestMinion(ledger, 'i-1');
	const first = createRuns(addTestJob(ledger, 'a', {count: 3, request: {cpuMillicores: 100, memoryMb: 1, gpus: 0}}), life);
	const second = createRuns(addTestJob(ledger, 'b', {count: 3, request: {cpuMillicores: 100, memoryMb: 1, gpus: 0}}), life);
	const list = () => [...restoreLedger(createLedgerSnapshot(ledger), parse).uncertainStarts.keys()].map(key => key.replace(/^0+/v, ''));
	assignTestRuns(ledger, first);
	const steps = [list()];
	// This leader has not seen the second assignment yet.
	assignTestRuns(ledger, second);
	report(ledger, {upTo: 1, uncertain: [toKey(`${first[1]?.task}#1`)]});
	steps.push(list());
	endTestRuns(ledger, second.slice(0, 1), 'done');
	report(ledger, {upTo: 2, uncertain: [toKey(`${second[2]?.task}#1`)]});
	steps.push(list());
	expect(steps).toEqual([['a.0.0.0#1', 'a.0.0.1#1', 'a.0.0.2#1'], ['a.0.0.1#1', 'b.0.0.0#1', 'b.0.0.1#1', 'b.0.0.2#1'], ['b.0.0.2#1']]);
});

const join = (ledger: Ledger, name: string, bornAtMs: number) => {
	const {record} = addTestMinion(createLedger(), name);
	const life = toBrand<IncarnationId>(`${name}@${bornAtMs}`);
	applyLedgerCommand(ledger, {type: 'minion/joined', term: 0, record: {...record, life, bornAtMs}}, parse);
	return life;
};

const mayHoldForeignLease = (ledger: Ledger, life: IncarnationId) => restoreLedger(createLedgerSnapshot(ledger), parse).incarnations.get(life)?.mayHoldForeignLease;

test('a minion that is back under its id may hold a lease of its former time, until that is recorded as over', () => {
	const ledger = createLedger();
	const first = join(ledger, 'i-1', 1);
	const second = join(ledger, 'i-1', 2);
	const values = [mayHoldForeignLease(ledger, first), mayHoldForeignLease(ledger, second)];
	applyLedgerCommand(ledger, {type: 'minion/settled', term: 0, life: second}, parse);
	values.push(mayHoldForeignLease(ledger, second));
	applyLedgerCommand(ledger, {type: 'minion/left', term: 0, life: second}, parse);
	const restored = restoreLedger(createLedgerSnapshot(ledger), parse);
	values.push(mayHoldForeignLease(restored, join(restored, 'i-1', 3)), mayHoldForeignLease(ledger, join(ledger, 'i-2', 3)));
	expect(values).toEqual([undefined, true, false, true, false]);
});

test('the minions that have ended are bounded, and the latest are kept', () => {
	const ledger = createLedger();
	for (let number = 0; number < maximumEndedMinions + 2; number += 1) {
		applyLedgerCommand(ledger, {type: 'minion/left', term: 0, life: join(ledger, `i-${number}`, 1)}, parse);
	}

	expect([ledger.endedMinions.size, [...ledger.endedMinions][0]]).toEqual([maximumEndedMinions, 'i-2']);
});
