import {
	createVirtualTimerService, toBrand, type DataCentreId, type MinionId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {
	applyLedgerCommand, createIncarnationId, createLedger, type MinionRecord,
} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {reportBundlePeriodMs} from './constants.js';
import {createReportCollector} from './report-collector.js';
import type {MinionReport, SeenReport} from './types.js';

const createRecord = (name: string): MinionRecord => {
	const minion = toBrand<MinionId>(name);
	return {
		life: createIncarnationId(minion, 1), minion, bornAtMs: 1, address: `10.0.0.1:${name.length}`, worker: toBrand<WorkerId>(`m-${name}`), pool: toBrand<PoolId>('counter'), dataCentre: toBrand<DataCentreId>('a'), rack: undefined, labels: [], capacity: {cpuMillicores: 8000, memoryMb: 8000, gpus: 0},
	};
};

const createReport = (name: string, sequence: number): MinionReport => ({
	record: createRecord(name), sequence, isDraining: false, remainingMs: undefined,
});

const createWorld = () => {
	const timers = createVirtualTimerService();
	const ledger = createLedger();
	const sent: Array<readonly SeenReport[]> = [];
	const world = {isInContact: true};
	applyLedgerCommand(ledger, {type: 'term/begun', term: 1}, () => undefined);
	for (const name of ['i-1', 'i-22']) {
		applyLedgerCommand(ledger, {type: 'minion/joined', term: 1, record: createRecord(name)}, () => undefined);
	}

	const {collect} = createReportCollector({
		timers,
		getLedger: () => ledger,
		isInContact: () => world.isInContact,
		send(reports) {
			sent.push(reports);
		},
	});
	return {
		timers, ledger, world, sent, collect,
	};
};

test('reports that tell nothing new reach the leader in one message, with their age (incident 51)', () => {
	const {timers, sent, collect} = createWorld();
	expect([collect(createReport('i-1', 4)), collect(createReport('i-22', 9))]).toEqual([true, true]);
	timers.advance(reportBundlePeriodMs - 50);
	expect([collect(createReport('i-1', 5)), collect(createReport('i-1', 3))]).toEqual([true, true]);
	expect(sent).toEqual([]);
	timers.advance(50);
	expect(sent).toEqual([[
		{life: 'i-1@1', sequence: 5, ageMs: 50},
		{life: 'i-22@1', sequence: 9, ageMs: reportBundlePeriodMs},
	]]);
	timers.advance(10 * reportBundlePeriodMs);
	expect(sent.length).toBe(1);
});

test('a report that tells something new is for the leader', () => {
	const {collect, ledger} = createWorld();
	const report = createReport('i-1', 4);
	const {record} = report;
	const novel: readonly MinionReport[] = [
		createReport('i-333', 1),
		{...report, isDraining: true},
		{...report, record: {...record, life: createIncarnationId(record.minion, 2)}},
		{...report, record: {...record, address: '10.0.0.9:1'}},
		{...report, record: {...record, pool: toBrand<PoolId>('other')}},
		{...report, record: {...record, worker: toBrand<WorkerId>('m-other')}},
		{...report, record: {...record, capacity: {...record.capacity, cpuMillicores: 4000}}},
	];
	expect(novel.map(changed => collect(changed))).toEqual(novel.map(() => false));
	applyLedgerCommand(ledger, {type: 'minion/left', term: 1, life: record.life}, () => undefined);
	expect(collect(report)).toBe(false);
});

test('a host that has not heard from a leader collects nothing', () => {
	const {collect, world} = createWorld();
	world.isInContact = false;
	expect(collect(createReport('i-1', 4))).toBe(false);
});
