/**
 * Measures the time without a leader, in virtual time: from a crash, isolation or planned hand-over of the leader until
 * a proposal of another node is answered. The proposer resends its proposal as the product does.
 *
 * Run: node bench/dist/replica-failover.js [RUNS]
 */
import process from 'node:process';
import {createTestNetwork, type TestNetwork, type TestNode} from '@samphiremill/core/testing';
import {formatTable, getQuantile} from './statistics.js';

const runCount = Number(process.argv[2] ?? 200);
const stepMs = 5;
const maximumWaitMs = 30_000;

const createNodes = (voters: number): readonly TestNode[] => [
	...Array.from({length: voters}, (_, index): TestNode => ({name: `v${index}`, dataCentre: `dc${index}`, kind: 'voter'})),
	{name: 'observer', dataCentre: 'dc-far', kind: 'diskless'},
];

const faults = {
	crash(network: TestNetwork, leader: string) {
		network.crash(leader);
	},
	'cut off'(network: TestNetwork, leader: string) {
		network.isolate([leader]);
	},
	'planned hand-over'(network: TestNetwork, leader: string) {
		network.transferLeadership(leader);
	},
};

const measureUnavailabilityMs = ({voters, maximumDelayMs, fault, seed}: {
	readonly voters: number;
	readonly maximumDelayMs: number;
	readonly fault: keyof typeof faults;
	readonly seed: number;
}) => {
	const network = createTestNetwork({nodes: createNodes(voters), seed, delayMs: {least: maximumDelayMs / 2, most: maximumDelayMs}});
	network.run(6000);
	const leader = network.getLeader() ?? '';
	faults[fault](network, leader);
	const faultAtMs = network.getNowMs();
	const id = network.propose('observer', 'after');
	while (network.getOutcome(id)?.type !== 'done' && network.getNowMs() - faultAtMs < maximumWaitMs) {
		network.run(stepMs);
		if (network.getOutcome(id)?.type === 'failed') {
			throw new Error(`proposal failed: ${JSON.stringify(network.getOutcome(id))}`);
		}
	}

	return network.getNowMs() - faultAtMs;
};

const rows: Array<ReadonlyArray<string | number>> = [['voters', 'one way ms', 'fault', 'runs', 'p50 ms', 'p99 ms', 'max ms']];
for (const voters of [3, 5, 7]) {
	for (const maximumDelayMs of [2, 100]) {
		for (const fault of ['crash', 'cut off', 'planned hand-over'] as const) {
			const durationsMs = Array.from({length: runCount}, (_, seed) => measureUnavailabilityMs({
				voters, maximumDelayMs, fault, seed: seed + 1,
			}));
			rows.push([voters, `${maximumDelayMs / 2} to ${maximumDelayMs}`, fault, runCount, getQuantile(durationsMs, 0.5), getQuantile(durationsMs, 0.99), Math.max(...durationsMs)]);
		}
	}
}

console.log(formatTable(rows));
