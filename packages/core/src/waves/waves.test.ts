import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toBrand, type WallClockMs, type WorkerId} from '@samphiremill/common';
import type {PoolRecord} from '../control/types.js';
import {estimateWave} from './estimate-wave.js';
import {findWaveObstacles} from './find-wave-obstacles.js';
import {
	createWave, testConfig, WaveSimulation, type Proposal,
} from './test-wave-simulation.js';
import {restoreWavesState} from './restore-waves-state.js';
import type {HostPhase} from './types.js';

const runOptions = {
	seed: Number(process.env.SAMPHIREMILL_SEED ?? 5),
	numRuns: Number(process.env.SAMPHIREMILL_RUNS ?? 50),
};

const plannedSteps = new Set(['waves/grantDrain', 'waves/hostDraining', 'waves/hostDrained']);

/** Counts the unavailable hosts independently of the code under test. */
function countUnavailable(simulation: WaveSimulation, pool: PoolRecord | undefined, alsoUnavailable: ReadonlySet<string>): number {
	const {waves, unavailable} = simulation.state;
	return simulation.workers.filter(({id, homePool}) => homePool === pool?.id && (
		alsoUnavailable.has(id)
		|| unavailable.some(({worker}) => worker === id)
		|| waves.some(({hosts}) => hosts.some(({worker, phase}) => worker === id
			&& ['granted', 'draining', 'rebooting', 'failed'].includes(phase)))
	)).length;
}

function checkPlannedStep({command, unavailableWhenPlanned}: Proposal, simulation: WaveSimulation): void {
	if (!plannedSteps.has(command.type) || !('worker' in command)) {
		return;
	}

	const worker = simulation.workers.find(({id}) => id === command.worker);
	const pool = simulation.pools.find(({id}) => id === worker?.homePool);
	const known = command.type === 'waves/grantDrain' ? unavailableWhenPlanned : new Set<string>();
	if (command.type === 'waves/grantDrain') {
		expect(command.observationRevision).toBe(simulation.state.observationRevision);
	}

	const closed = simulation.workers.filter(({id}) => simulation.hosts.get(id)?.isIntakeOpen === false).map(({id}) => id);
	expect(countUnavailable(simulation, pool, new Set([...known, ...closed]))).toBeLessThanOrEqual(pool?.maximumUnavailableHosts ?? 0);
	expect(simulation.state.waves.find(({wave}) => wave === command.wave)?.phase).toBe('running');
	const aside = simulation.state.waves.flatMap(({hosts}) => hosts.filter(({phase}) =>
		['granted', 'draining', 'rebooting'].includes(phase)));
	expect(aside.length).toBeLessThanOrEqual(testConfig.maximumHostsAsideFleetWide);
}

const operation = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('tick' as const), rebootTicks: fc.integer({min: 1, max: 8})})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('fail' as const), host: fc.nat(31), ticks: fc.integer({min: 1, max: 30})})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cut' as const), dataCentre: fc.nat(1), ticks: fc.integer({min: 1, max: 15})})},
	// The leader changes while proposals are pending: they are lost, or committed after the next leader has planned.
	{weight: 2, arbitrary: fc.record({type: fc.constant('newLeader' as const), areLost: fc.boolean()})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('repeat' as const), age: fc.integer({min: 1, max: 40})})},
	// A grant that the planner would not propose, based on observations that may be stale.
	{
		weight: 4, arbitrary: fc.record({
			type: fc.constant('grant' as const), host: fc.nat(31), wave: fc.nat(1), revisionAge: fc.nat(1),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('write' as const), desired: fc.constantFrom('running' as const, 'paused' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const)})},
);

type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never;

function runOperation(simulation: WaveSimulation, item: Operation): void {
	switch (item.type) {
		case 'tick': {
			simulation.tick(item.rebootTicks);
			break;
		}

		case 'fail': {
			simulation.failHost(item.host, item.ticks);
			break;
		}

		case 'cut': {
			simulation.cutOffDataCentre(item.dataCentre, item.ticks);
			break;
		}

		case 'newLeader': {
			simulation.plan();
			const late = simulation.proposals.splice(0);
			simulation.tick();
			simulation.commit(item.areLost ? [] : late);
			break;
		}

		case 'repeat': {
			simulation.commit(simulation.history.slice(-item.age).slice(0, 1));
			break;
		}

		case 'grant': {
			const {hosts, wave} = simulation.state.waves[item.wave] ?? {hosts: []};
			const host = hosts[item.host % hosts.length];
			if (host !== undefined && wave !== undefined) {
				const observationRevision = simulation.state.observationRevision - item.revisionAge;
				const command = {
					type: 'waves/grantDrain' as const, wave, worker: host.worker, observationRevision, atMs: toBrand<WallClockMs>(simulation.nowMs),
				};
				simulation.commit([{command, unavailableWhenPlanned: new Set()}]);
			}

			break;
		}

		case 'write': {
			simulation.writeRecord(0, item.desired);
			break;
		}

		case 'restart': {
			const restored = restoreWavesState(structuredClone(simulation.state));
			expect(restored).toEqual({ok: true, value: simulation.state});
			break;
		}
	}
}

/** Runs until every wave is completed. The operator resumes paused waves. */
function runToCompletion(simulation: WaveSimulation): void {
	for (let tick = 0; tick < 1500 && simulation.state.waves.some(({phase}) => phase !== 'completed'); tick += 1) {
		simulation.tick();
		for (const {wave} of simulation.state.waves.filter(({phase}) => phase === 'paused')) {
			simulation.writeRecord(simulation.waves.findIndex(({record}) => record.id === wave), 'running');
		}
	}
}

function runUntil(simulation: WaveSimulation, phase: HostPhase): void {
	for (let tick = 0; tick < 100 && !simulation.state.waves[0]?.hosts.some(host => host.phase === phase); tick += 1) {
		simulation.tick();
	}
}

test('no planned step exceeds a budget, and every host is maintained once, despite failures and late commands', () => {
	fc.assert(fc.property(
		fc.array(operation, {maxLength: 60}),
		fc.tuple(fc.integer({min: 1, max: 3}), fc.integer({min: 1, max: 9})),
		(operations, budgets) => {
			const waves = [createWave('wave-a', [0, 1], 5), createWave('wave-b', [1], 3)];
			const simulation = new WaveSimulation({
				hostsPerPool: 16, budgets, waves, onApplied: checkPlannedStep,
			});
			for (const item of operations) {
				runOperation(simulation, item);
			}

			runToCompletion(simulation);
			expect(simulation.rebootsWithRunningTasks).toBe(0);
			for (const {wave, phase, hosts} of simulation.state.waves) {
				expect(phase).toBe('completed');
				for (const {worker} of hosts) {
					const reboots = simulation.hosts.get(worker)?.reboots.filter(id => id.startsWith(`${wave}:`));
					expect(reboots).toHaveLength(1);
				}
			}
		},
	), runOptions);
});

test('a wave is paused with the rack as the reason when two hosts of one rack do not return, and completes after it is resumed', () => {
	const simulation = new WaveSimulation({hostsPerPool: 8, budgets: [2], waves: [createWave('wave-a', [0])]});
	for (let tick = 0; tick < 6; tick += 1) {
		simulation.tick(500);
	}

	const rebooting = simulation.state.waves[0]?.hosts.filter(({phase}) => phase === 'rebooting').map(({worker}) => worker);
	for (let tick = 0; tick < 30; tick += 1) {
		simulation.tick();
	}

	expect(simulation.state.waves[0]).toMatchObject({
		phase: 'paused',
		pause: {
			type: 'correlatedFailure', workers: rebooting, rack: 'rack-0-0', dataCentre: 'dc-0',
		},
	});
	expect(simulation.state.waves[0]?.hosts.filter(({phase}) => phase === 'pending')).toHaveLength(6);
	expect([...simulation.hosts.values()].filter(({reboots}) => reboots.length > 0)).toHaveLength(2);
	for (const host of simulation.hosts.values()) {
		host.rebootUntilMs = 0;
	}

	simulation.writeRecord(0, 'running');
	runToCompletion(simulation);
	expect(simulation.state.waves[0]?.phase).toBe('completed');
});

test('a host that becomes silent soon after its return counts as failed in the wave', () => {
	const simulation = new WaveSimulation({hostsPerPool: 4, budgets: [1], waves: [createWave('wave-a', [0])]});
	runUntil(simulation, 'returned');

	simulation.failHost(0, 5);
	simulation.tick();
	expect(simulation.state.waves[0]?.hosts[0]).toMatchObject({phase: 'failed', failure: 'relapsed'});
	runToCompletion(simulation);
	expect(simulation.state.waves[0]?.hosts.map(({phase}) => phase)).toEqual(['returned', 'returned', 'returned', 'returned']);
});

test('a drain is recalled when an unplanned failure uses up the budget before the reboot', () => {
	const simulation = new WaveSimulation({hostsPerPool: 4, budgets: [1], waves: [createWave('wave-a', [0])]});
	runUntil(simulation, 'draining');

	simulation.failHost(3, 10);
	simulation.tick();
	expect(simulation.state.waves[0]?.hosts[0]?.phase).toBe('draining');
	expect(simulation.hosts.get(toBrand('worker-0-0'))?.isIntakeOpen).toBe(true);
	simulation.tick();
	expect(simulation.state.waves[0]?.hosts.every(({phase}) => phase === 'pending')).toBe(true);
	expect([...simulation.hosts.values()].every(({isIntakeOpen}) => isIntakeOpen)).toBe(true);
});

test('an aborted wave releases the hosts that it has not rebooted and ends when the others have returned', () => {
	const simulation = new WaveSimulation({hostsPerPool: 8, budgets: [2], waves: [createWave('wave-a', [0])]});
	runUntil(simulation, 'rebooting');

	simulation.writeRecord(0, 'aborted');
	simulation.tick();
	expect(simulation.state.waves[0]?.phase).toBe('aborting');
	for (let tick = 0; tick < 10; tick += 1) {
		simulation.tick();
	}

	expect(simulation.state.waves[0]?.phase).toBe('aborted');
	expect(simulation.state.waves[0]?.hosts.map(({phase}) => phase).toSorted()).toMatchSnapshot();
});

test('a wave that its limits prevent from ending does not start, and every obstacle is reported with its path', () => {
	const wave = {...createWave('wave-a', [0, 1, 7], 0), workers: [toBrand<WorkerId>('worker-0-0'), toBrand<WorkerId>('worker-9-9')]};
	const simulation = new WaveSimulation({hostsPerPool: 4, budgets: [0, 1], waves: [wave]});
	simulation.tick();
	expect(simulation.state.waves).toEqual([]);
	expect(findWaveObstacles({record: simulation.waves[0]!.record, records: simulation.records, cfg: testConfig})).toMatchSnapshot();
});

test('the progress contains the counts, the lower bound and what the wave waits for', () => {
	const simulation = new WaveSimulation({hostsPerPool: 8, budgets: [2, 1], waves: [createWave('wave-a', [0, 1])]});
	for (let tick = 0; tick < 12; tick += 1) {
		simulation.tick();
	}

	simulation.failHost(15, 20);
	simulation.failHost(14, 20);
	simulation.tick();
	const {nowMs, state, records} = simulation;
	expect(estimateWave({
		wave: createWave('wave-a', []).id, state, records, cfg: testConfig, nowMs: toBrand(nowMs),
	})).toMatchSnapshot();
});
