import {
	toBrand, type DataCentreId, type MinionId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {createIncarnationId, type Task} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {maximumReportedWaits, reportedWaitMs} from './constants.js';
import {createTestWorld} from './test-world.js';
import {reportWaitingTasks, type MinionGate, type PoolMinion} from './waiting-report.js';

const ignore = () => undefined;

const createMinion = (name: string, gate: MinionGate | undefined): PoolMinion => ({
	gate,
	minion: {
		record: {
			life: createIncarnationId(toBrand<MinionId>(name), 1), minion: toBrand<MinionId>(name), bornAtMs: 1, address: `${name}:80`, worker: toBrand<WorkerId>(name), pool: toBrand<PoolId>('counter'), dataCentre: toBrand<DataCentreId>('dc'), rack: undefined, labels: [], capacity: {cpuMillicores: 8000, memoryMb: 10_000, gpus: 0},
		},
		runLimit: gate === undefined ? 0 : Number.POSITIVE_INFINITY,
		isDrainingSoon: false,
		isSuspect: false,
	},
});

const minions = [createMinion('i-1', 'silent'), createMinion('i-2', 'move'), createMinion('i-3', 'move'), createMinion('i-4', undefined)];

const collect = (tasks: readonly Task[], waitMs: number, getLedger: ReturnType<typeof createTestWorld>['getLedger']) => {
	const lines: Array<{readonly message: string; readonly fields: Readonly<Record<string, unknown>> | undefined}> = [];
	reportWaitingTasks(tasks.map(task => ({task, waitMs})), {
		log: {
			debug: ignore,
			warn: ignore,
			error: ignore,
			info(message: string, fields?: Readonly<Record<string, unknown>>) {
				lines.push({message, fields});
			},
		},
		getLedger,
		listMinions: () => minions,
		isAllowed: () => true,
		getWaitMs: () => 0,
	});
	return lines;
};

test('long waits are logged, a bounded number of them, and short waits are not', async () => {
	const world = createTestWorld({seed: 1, minionCount: 0});
	await world.advance(500);
	const {id} = world.submit([{count: maximumReportedWaits + 2, isLasting: true}]);
	await world.advance(500);
	const tasks = world.getLedger().jobs.get(id)?.occurrences.get(0)?.steps[0]?.tasks ?? [];
	expect(collect(tasks, reportedWaitMs - 1, world.getLedger)).toEqual([]);
	const [line, ...others] = collect(tasks, reportedWaitMs, world.getLedger);
	expect(others).toEqual([]);
	expect(line?.fields?.tasks).toHaveLength(maximumReportedWaits);
	expect({...line?.fields, tasks: undefined}).toEqual({omitted: 2, tasks: undefined});
	expect(line?.fields?.tasks).toContainEqual({
		id: `${id}.0.0.0`, waitMs: 1000, lastRun: 0, isAssigned: false, pool: 'counter', minions: 4, refusals: {health: 1, move: 2, silent: 1}, accepting: 0, isTeamAtMaximum: false,
	});
});
