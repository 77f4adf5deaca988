import {toBrand} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {applyWaveCommand} from './apply-wave-command.js';
import {createWave, testConfig, WaveSimulation} from './test-wave-world.js';
import type {
	FleetRecords, HostPhase, WaveCommand, WavesState,
} from './types.js';

const wave = createWave('wave-a', [0], 2);
const [first, second, third, fourth] = ['worker-0-0', 'worker-0-1', 'worker-0-2', 'worker-0-3'].map(id => toBrand<WorkerIdOf>(id));

type WorkerIdOf = WavesState['unavailable'][number]['worker'];

type Scenario = {
	readonly phases?: ReadonlyArray<readonly [WorkerIdOf | undefined, HostPhase]>;
	readonly command?: Partial<WaveCommand> & Readonly<Record<string, unknown>>;
	readonly state?: Partial<WavesState>;
	readonly budget?: number;
	readonly wavePhase?: 'paused';
	readonly ownership?: FleetRecords['ownership'];
	readonly maximumHostsAsideFleetWide?: number;
	readonly bound?: number;
};

/** Applies a grant of the first host, changed as the situation says. */
function apply(situation: Scenario) {
	const world = new WaveSimulation({hostsPerPool: 4, budgets: [situation.budget ?? 2], waves: [{...wave, maximumHostsAside: situation.bound ?? 2}]});
	world.plan();
	world.commit(world.proposals.filter(({command}) => command.type === 'waves/start'));
	const [started] = world.state.waves;
	const hosts = started?.hosts.map(host => {
		const phase = situation.phases?.find(([worker]) => worker === host.worker)?.[1];
		return phase === undefined ? host : {...host, phase, attempt: 1};
	}) ?? [];
	const state: WavesState = {
		...world.state,
		waves: started === undefined ? [] : [{...started, hosts, phase: situation.wavePhase ?? 'running'}],
		...situation.state,
	};
	const command = {
		type: 'waves/grantDrain', wave: wave.id, worker: first, observationRevision: 0, atMs: 5000, ...situation.command,
	};
	return applyWaveCommand({
		state,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a situation names only the fields that differ
		command: command as unknown as WaveCommand,
		records: {...world.records, ...(situation.ownership !== undefined && {ownership: situation.ownership})},
		cfg: {...testConfig, maximumHostsAsideFleetWide: situation.maximumHostsAsideFleetWide ?? 7},
	}).answer;
}

const moving: FleetRecords['ownership'] = [
	{worker: toBrand('worker-0-0'), epoch: 2, phase: {type: 'releasing', pool: toBrand('pool-0'), to: toBrand('pool-1')}},
];

test('each condition is checked again when a command is applied', () => {
	expect({
		fresh: apply({}),
		staleObservation: apply({state: {observationRevision: 1}}),
		paused: apply({wavePhase: 'paused'}),
		returned: apply({phases: [[first, 'returned']]}),
		down: apply({state: {unavailable: [{worker: toBrand('worker-0-0'), condition: 'silent'}]}}),
		moving: apply({ownership: moving}),
		othersAside: apply({phases: [[second, 'draining']], budget: 1}),
		othersFailed: apply({phases: [[second, 'failed'], [third, 'failed']]}),
		waveBound: apply({phases: [[second, 'draining']], bound: 1}),
		fleetBound: apply({phases: [[second, 'rebooting']], maximumHostsAsideFleetWide: 1}),
		drainOfOldGrant: apply({phases: [[first, 'granted']], command: {type: 'waves/hostDraining', attempt: 0}}),
		drainWhilePaused: apply({phases: [[first, 'granted']], wavePhase: 'paused', command: {type: 'waves/hostDraining', attempt: 1}}),
		rebootOverBudget: apply({
			phases: [[first, 'draining'], [third, 'failed'], [fourth, 'failed']], command: {type: 'waves/hostDrained', attempt: 1},
		}),
		returnBeforeReboot: apply({phases: [[first, 'draining']], command: {type: 'waves/hostReturned', attempt: 1}}),
		unknownHost: apply({command: {worker: toBrand('worker-9-9')}}),
	}).toMatchSnapshot();
});
