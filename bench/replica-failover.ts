/**
 * Time without a leader, in virtual time: from the leader's crash, or from a planned hand-over, to
 * the first proposal that another node gets answered. The proposer resends as in the product.
 *
 * Run: node bench/dist/replica-failover.js [RUNS]
 */
import process from 'node:process';
import {createTestNetwork, type TestNetwork, type TestNode} from '@samphiremill/core/testing';
import {formatTable, getQuantile} from './statistics.js';

const runs = Number(process.argv[2] ?? 200);
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

const measure = ({voters, most: maximumDelayMs, fault, seed}: {
	readonly voters: number;
	readonly most: number;
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
			throw new Error(`The proposal failed: ${JSON.stringify(network.getOutcome(id))}`);
		}
	}

	return network.getNowMs() - faultAtMs;
};

const rows: Array<ReadonlyArray<string | number>> = [['voters', 'one way ms', 'fault', 'runs', 'p50 ms', 'p99 ms', 'max ms']];
for (const voters of [3, 5, 7]) {
	for (const most of [2, 100]) {
		for (const fault of ['crash', 'cut off', 'planned hand-over'] as const) {
			const times = Array.from({length: runs}, (_, seed) => measure({
				voters, most, fault, seed: seed + 1,
			}));
			rows.push([voters, `${most / 2} to ${most}`, fault, runs, getQuantile(times, 0.5), getQuantile(times, 0.99), Math.max(...times)]);
		}
	}
}

console.log(formatTable(rows));
