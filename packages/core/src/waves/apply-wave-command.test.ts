import {toBrand} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {applyWaveCommand} from './apply-wave-command.js';
import {createWave, testConfig, WaveSimulation} from './test-wave-simulation.js';
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
	readonly waveLimit?: number;
};

/** Applies a grant of the first host, with the changes of the scenario. */
function apply(scenario: Scenario) {
	const simulation = new WaveSimulation({hostsPerPool: 4, budgets: [scenario.budget ?? 2], waves: [{...wave, maximumHostsAside: scenario.waveLimit ?? 2}]});
	simulation.plan();
	simulation.commit(simulation.proposals.filter(({command}) => command.type === 'waves/start'));
	const [started] = simulation.state.waves;
	const hosts = started?.hosts.map(host => {
		const phase = scenario.phases?.find(([worker]) => worker === host.worker)?.[1];
		return phase === undefined ? host : {...host, phase, attempt: 1};
	}) ?? [];
	const state: WavesState = {
		...simulation.state,
		waves: started === undefined ? [] : [{...started, hosts, phase: scenario.wavePhase ?? 'running'}],
		...scenario.state,
	};
	const command = {
		type: 'waves/grantDrain', wave: wave.id, worker: first, observationRevision: 0, atMs: 5000, ...scenario.command,
	};
	return applyWaveCommand({
		state,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a scenario contains only the fields that differ
		command: command as unknown as WaveCommand,
		records: {...simulation.records, ...(scenario.ownership !== undefined && {ownership: scenario.ownership})},
		cfg: {...testConfig, maximumHostsAsideFleetWide: scenario.maximumHostsAsideFleetWide ?? 7},
	}).answer;
}

const moving: FleetRecords['ownership'] = [
	{worker: toBrand('worker-0-0'), epoch: 2, phase: {type: 'releasing', pool: toBrand('pool-0'), to: toBrand('pool-1')}},
];

test('every condition is checked again when a command is applied', () => {
	expect({
		fresh: apply({}),
		staleObservation: apply({state: {observationRevision: 1}}),
		paused: apply({wavePhase: 'paused'}),
		returned: apply({phases: [[first, 'returned']]}),
		down: apply({state: {unavailable: [{worker: toBrand('worker-0-0'), condition: 'silent'}]}}),
		moving: apply({ownership: moving}),
		othersAside: apply({phases: [[second, 'draining']], budget: 1}),
		othersFailed: apply({phases: [[second, 'failed'], [third, 'failed']]}),
		waveBound: apply({phases: [[second, 'draining']], waveLimit: 1}),
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
