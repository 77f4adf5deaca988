import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toBrand, type WallClockMs, type WorkerId} from '@samphiremill/common';
import type {PoolRecord} from '../control/types.js';
import {estimateWave} from './estimate-wave.js';
import {findWaveObstacles} from './find-wave-obstacles.js';
import {
	createWave, testConfig, WaveSimulation, type Proposal,
} from './test-wave-world.js';
import {restoreWavesState} from './restore-waves-state.js';
import type {HostPhase} from './types.js';

const runOptions = {
	seed: Number(process.env.SAMPHIREMILL_SEED ?? 5),
	numRuns: Number(process.env.SAMPHIREMILL_RUNS ?? 50),
};

const plannedSteps = new Set(['waves/grantDrain', 'waves/hostDraining', 'waves/hostDrained']);

/** Counted apart from the product's own count. */
function countUnavailable(world: WaveSimulation, pool: PoolRecord | undefined, alsoOut: ReadonlySet<string>): number {
	const {waves, unavailable} = world.state;
	return world.workers.filter(({id, homePool}) => homePool === pool?.id && (
		alsoOut.has(id)
		|| unavailable.some(({worker}) => worker === id)
		|| waves.some(({hosts}) => hosts.some(({worker, phase}) => worker === id
			&& ['granted', 'draining', 'rebooting', 'failed'].includes(phase)))
	)).length;
}

function checkPlannedStep({command, unavailableWhenPlanned: outWhenPlanned}: Proposal, world: WaveSimulation): void {
	if (!plannedSteps.has(command.type) || !('worker' in command)) {
		return;
	}

	const worker = world.workers.find(({id}) => id === command.worker);
	const pool = world.pools.find(({id}) => id === worker?.homePool);
	const known = command.type === 'waves/grantDrain' ? outWhenPlanned : new Set<string>();
	if (command.type === 'waves/grantDrain') {
		expect(command.observationRevision).toBe(world.state.observationRevision);
	}

	const closed = world.workers.filter(({id}) => world.hosts.get(id)?.isIntakeOpen === false).map(({id}) => id);
	expect(countUnavailable(world, pool, new Set([...known, ...closed]))).toBeLessThanOrEqual(pool?.maximumUnavailableHosts ?? 0);
	expect(world.state.waves.find(({wave}) => wave === command.wave)?.phase).toBe('running');
	const aside = world.state.waves.flatMap(({hosts}) => hosts.filter(({phase}) =>
		['granted', 'draining', 'rebooting'].includes(phase)));
	expect(aside.length).toBeLessThanOrEqual(testConfig.maximumHostsAsideFleetWide);
}

const operation = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('tick' as const), rebootTicks: fc.integer({min: 1, max: 8})})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('fail' as const), host: fc.nat(31), ticks: fc.integer({min: 1, max: 30})})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cut' as const), dataCentre: fc.nat(1), ticks: fc.integer({min: 1, max: 15})})},
	// The leader changes with proposals under way: they are committed after the next leader has planned, or lost.
	{weight: 2, arbitrary: fc.record({type: fc.constant('newLeader' as const), areLost: fc.boolean()})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('repeat' as const), age: fc.integer({min: 1, max: 40})})},
	// A grant that no planner would give, on observations that may be out of date.
	{
		weight: 4, arbitrary: fc.record({
			type: fc.constant('grant' as const), host: fc.nat(31), wave: fc.nat(1), revisionAge: fc.nat(1),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('write' as const), desired: fc.constantFrom('running' as const, 'paused' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const)})},
);

type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never;

function runOperation(world: WaveSimulation, item: Operation): void {
	switch (item.type) {
		case 'tick': {
			world.tick(item.rebootTicks);
			break;
		}

		case 'fail': {
			world.failHost(item.host, item.ticks);
			break;
		}

		case 'cut': {
			world.cutOffDataCentre(item.dataCentre, item.ticks);
			break;
		}

		case 'newLeader': {
			world.plan();
			const late = world.proposals.splice(0);
			world.tick();
			world.commit(item.areLost ? [] : late);
			break;
		}

		case 'repeat': {
			world.commit(world.history.slice(-item.age).slice(0, 1));
			break;
		}

		case 'grant': {
			const {hosts, wave} = world.state.waves[item.wave] ?? {hosts: []};
			const host = hosts[item.host % hosts.length];
			if (host !== undefined && wave !== undefined) {
				const observationRevision = world.state.observationRevision - item.revisionAge;
				const command = {
					type: 'waves/grantDrain' as const, wave, worker: host.worker, observationRevision, atMs: toBrand<WallClockMs>(world.nowMs),
				};
				world.commit([{command, unavailableWhenPlanned: new Set()}]);
			}

			break;
		}

		case 'write': {
			world.writeRecord(0, item.desired);
			break;
		}

		case 'restart': {
			const restored = restoreWavesState(structuredClone(world.state));
			expect(restored).toEqual({ok: true, value: world.state});
			break;
		}
	}
}

/** Lets every host come back and has the operator resume what is paused. */
function runToCompletion(world: WaveSimulation): void {
	for (let tick = 0; tick < 1500 && world.state.waves.some(({phase}) => phase !== 'completed'); tick += 1) {
		world.tick();
		for (const {wave} of world.state.waves.filter(({phase}) => phase === 'paused')) {
			world.writeRecord(world.waves.findIndex(({record}) => record.id === wave), 'running');
		}
	}
}

function runUntil(world: WaveSimulation, phase: HostPhase): void {
	for (let tick = 0; tick < 100 && !world.state.waves[0]?.hosts.some(host => host.phase === phase); tick += 1) {
		world.tick();
	}
}

test('budgets hold at each planned step, and every host is maintained once, whatever fails or comes late', () => {
	fc.assert(fc.property(
		fc.array(operation, {maxLength: 60}),
		fc.tuple(fc.integer({min: 1, max: 3}), fc.integer({min: 1, max: 9})),
		(operations, budgets) => {
			const waves = [createWave('wave-a', [0, 1], 5), createWave('wave-b', [1], 3)];
			const world = new WaveSimulation({
				hostsPerPool: 16, budgets, waves, onApplied: checkPlannedStep,
			});
			for (const item of operations) {
				runOperation(world, item);
			}

			runToCompletion(world);
			expect(world.rebootsWithRunningTasks).toBe(0);
			for (const {wave, phase, hosts} of world.state.waves) {
				expect(phase).toBe('completed');
				for (const {worker} of hosts) {
					const reboots = world.hosts.get(worker)?.reboots.filter(id => id.startsWith(`${wave}:`));
					expect(reboots).toHaveLength(1);
				}
			}
		},
	), runOptions);
});

test('two hosts of one rack that do not come back pause the wave, which names the rack and goes on when resumed', () => {
	const world = new WaveSimulation({hostsPerPool: 8, budgets: [2], waves: [createWave('wave-a', [0])]});
	for (let tick = 0; tick < 6; tick += 1) {
		world.tick(500);
	}

	const rebooting = world.state.waves[0]?.hosts.filter(({phase}) => phase === 'rebooting').map(({worker}) => worker);
	for (let tick = 0; tick < 30; tick += 1) {
		world.tick();
	}

	expect(world.state.waves[0]).toMatchObject({
		phase: 'paused',
		pause: {
			type: 'correlatedFailure', workers: rebooting, rack: 'rack-0-0', dataCentre: 'dc-0',
		},
	});
	expect(world.state.waves[0]?.hosts.filter(({phase}) => phase === 'pending')).toHaveLength(6);
	expect([...world.hosts.values()].filter(({reboots}) => reboots.length > 0)).toHaveLength(2);
	for (const host of world.hosts.values()) {
		host.rebootUntilMs = 0;
	}

	world.writeRecord(0, 'running');
	runToCompletion(world);
	expect(world.state.waves[0]?.phase).toBe('completed');
});

test('a host that goes silent soon after its return counts as failed by the wave', () => {
	const world = new WaveSimulation({hostsPerPool: 4, budgets: [1], waves: [createWave('wave-a', [0])]});
	runUntil(world, 'returned');

	world.failHost(0, 5);
	world.tick();
	expect(world.state.waves[0]?.hosts[0]).toMatchObject({phase: 'failed', failure: 'relapsed'});
	runToCompletion(world);
	expect(world.state.waves[0]?.hosts.map(({phase}) => phase)).toEqual(['returned', 'returned', 'returned', 'returned']);
});

test('a drain is recalled when an unplanned failure uses up the budget before the reboot', () => {
	const world = new WaveSimulation({hostsPerPool: 4, budgets: [1], waves: [createWave('wave-a', [0])]});
	runUntil(world, 'draining');

	world.failHost(3, 10);
	world.tick();
	expect(world.state.waves[0]?.hosts[0]?.phase).toBe('draining');
	expect(world.hosts.get(toBrand('worker-0-0'))?.isIntakeOpen).toBe(true);
	world.tick();
	expect(world.state.waves[0]?.hosts.every(({phase}) => phase === 'pending')).toBe(true);
	expect([...world.hosts.values()].every(({isIntakeOpen}) => isIntakeOpen)).toBe(true);
});

test('an aborted wave gives back what it has not rebooted and ends when the rest is back', () => {
	const world = new WaveSimulation({hostsPerPool: 8, budgets: [2], waves: [createWave('wave-a', [0])]});
	runUntil(world, 'rebooting');

	world.writeRecord(0, 'aborted');
	world.tick();
	expect(world.state.waves[0]?.phase).toBe('aborting');
	for (let tick = 0; tick < 10; tick += 1) {
		world.tick();
	}

	expect(world.state.waves[0]?.phase).toBe('aborted');
	expect(world.state.waves[0]?.hosts.map(({phase}) => phase).toSorted()).toMatchSnapshot();
});

test('a wave that its bounds can never let end is reported with every place and does not start', () => {
	const wave = {...createWave('wave-a', [0, 1, 7], 0), workers: [toBrand<WorkerId>('worker-0-0'), toBrand<WorkerId>('worker-9-9')]};
	const world = new WaveSimulation({hostsPerPool: 4, budgets: [0, 1], waves: [wave]});
	world.tick();
	expect(world.state.waves).toEqual([]);
	expect(findWaveObstacles({record: world.waves[0]!.record, records: world.records, cfg: testConfig})).toMatchSnapshot();
});

test('progress shows counts, the lower bound and what the wave waits for', () => {
	const world = new WaveSimulation({hostsPerPool: 8, budgets: [2, 1], waves: [createWave('wave-a', [0, 1])]});
	for (let tick = 0; tick < 12; tick += 1) {
		world.tick();
	}

	world.failHost(15, 20);
	world.failHost(14, 20);
	world.tick();
	const {nowMs, state, records} = world;
	expect(estimateWave({
		wave: createWave('wave-a', []).id, state, records, cfg: testConfig, nowMs: toBrand(nowMs),
	})).toMatchSnapshot();
});
