import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import fc from 'fast-check';
import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createTestNetwork, type TestNetwork, type TestNode} from './test-network.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 4);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 25);

const clockRates = [0.95, 1.1, 1, 0.9, 1.05];
const nodes: readonly TestNode[] = [
	...['v1', 'v2', 'v3', 'v4', 'v5'].map((name, index): TestNode => ({
		name, dataCentre: `dc${index % 3}`, kind: 'voter', clockRate: clockRates[index] ?? 1,
	})),
	{name: 's1', dataCentre: 'dc2', kind: 'spareDisk'},
	{name: 'o1', dataCentre: 'dc0', kind: 'diskless'},
	{
		name: 'o2', dataCentre: 'dc3', kind: 'diskless', clockRate: 0.9,
	},
	{
		name: 'o3', dataCentre: 'dc3', kind: 'diskless', clockRate: 1.1,
	},
];
const names = nodes.map(({name}) => name);
const voterNames = names.filter(name => name.startsWith('v'));

type Action
	= | {readonly type: 'propose' | 'read' | 'crash' | 'restart' | 'fillDisk' | 'freeDisk' | 'transfer'; readonly node: string}
		| {readonly type: 'cut'; readonly from: string; readonly to: string}
		| {readonly type: 'isolate' | 'powerLoss'; readonly nodes: readonly string[]}
		| {readonly type: 'heal'}
		| {readonly type: 'wipe' | 'readmit' | 'replace' | 'remove'; readonly node: string}
		| {readonly type: 'run'; readonly durationMs: number};

const anyNode = fc.constantFrom(...names);
const anyVoter = fc.constantFrom(...voterNames);
const anyAction: fc.Arbitrary<Action> = fc.oneof(
	{weight: 8, arbitrary: fc.record({type: fc.constant('propose' as const), node: anyNode})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('read' as const), node: anyNode})},
	{weight: 3, arbitrary: fc.record({type: fc.constantFrom('crash' as const, 'restart' as const), node: anyNode})},
	{weight: 3, arbitrary: fc.record({type: fc.constantFrom('fillDisk' as const, 'freeDisk' as const, 'transfer' as const), node: anyVoter})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('cut' as const), from: anyNode, to: anyNode})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('isolate' as const), nodes: fc.uniqueArray(anyNode, {minLength: 1, maxLength: 4})})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('powerLoss' as const), nodes: fc.uniqueArray(anyVoter, {minLength: 3, maxLength: 5})})},
	{weight: 2, arbitrary: fc.constant({type: 'heal' as const})},
	{weight: 1, arbitrary: fc.record({type: fc.constantFrom('wipe' as const, 'readmit' as const, 'replace' as const, 'remove' as const), node: anyVoter})},
	{weight: 10, arbitrary: fc.record({type: fc.constant('run' as const), durationMs: fc.constantFrom(7, 60, 300, 900, 2500)})},
);

// At most one disk is emptied at a time: no replicated log survives the loss of more copies than its quorum
// tolerates.
const createActionRunner = (network: TestNetwork) => {
	let wipedNode: string | undefined;
	let proposalCount = 0;
	let isVoterRemoved = false;
	const runningNodes = new Set(names);
	const propose = (node: string) => {
		proposalCount += 1;
		return network.propose(node, `c${proposalCount}`);
	};

	const readmit = (node: string, from: string) => {
		const storeId = network.getStoreId(node);
		if (storeId !== undefined && runningNodes.has(from)) {
			network.changeVoters(from, {type: 'add', voter: {node: toBrand<NodeId>(node), storeId}});
		}
	};

	const restart = (node: string) => {
		runningNodes.add(node);
		network.restart(node);
	};

	const crash = (node: string) => {
		runningNodes.delete(node);
		network.crash(node);
	};

	// After a voter was removed, fewer copies count than this model assumes.
	const isDiskLossAllowed = () => wipedNode === undefined && !isVoterRemoved && network.getState('o1').commitIndex > 1;

	const handlers: {readonly [Type in Action['type']]: (action: Action & {readonly type: Type}) => void} = {
		propose({node}) {
			propose(node);
		},
		read({node}) {
			network.read(node);
		},
		crash({node}) {
			crash(node);
		},
		restart({node}) {
			restart(node);
		},
		fillDisk({node}) {
			network.fillDisk(node);
		},
		freeDisk({node}) {
			network.freeDisk(node);
		},
		transfer({node}) {
			network.transferLeadership(network.getLeader() ?? node, node);
		},
		cut({from, to}) {
			network.cut(from, to);
		},
		isolate({nodes: isolatedNodes}) {
			network.isolate(isolatedNodes);
		},
		powerLoss({nodes: affectedNodes}) {
			for (const node of affectedNodes) {
				crash(node);
			}

			for (const node of affectedNodes) {
				restart(node);
			}
		},
		heal() {
			network.heal();
		},
		wipe({node}) {
			if (isDiskLossAllowed()) {
				wipedNode = node;
				runningNodes.add(node);
				network.wipe(node);
			}
		},
		readmit({node}) {
			readmit(wipedNode ?? node, network.getLeader() ?? node);
		},
		replace({node}) {
			const storeId = network.getStoreId('s1');
			if (storeId !== undefined) {
				network.changeVoters(network.getLeader() ?? node, {
					type: 'add', voter: {node: toBrand<NodeId>('s1'), storeId}, replaces: toBrand<NodeId>(node),
				});
			}
		},
		remove({node}) {
			if (wipedNode === undefined && !isVoterRemoved) {
				isVoterRemoved = true;
				network.changeVoters(network.getLeader() ?? node, {type: 'remove', node: toBrand<NodeId>(node)});
			}
		},
		run({durationMs}) {
			network.run(durationMs);
		},
	};

	const performAction = (action: Action) => {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- each handler takes the actions of its own type
		(handlers[action.type] as (action: Action) => void)(action);
	};

	const recover = (isEveryNodeRestarted: boolean) => {
		network.heal();
		network.disableRandomFaults();
		for (const name of names) {
			network.freeDisk(name);
			if (isEveryNodeRestarted || !runningNodes.has(name)) {
				restart(name);
			}
		}

		network.run(8000);
		const id = propose('o3');
		network.run(4000);
		return id;
	};

	return {performAction, recover};
};

test('the log keeps its invariants and recovers despite message loss, partitions, crashes, emptied and full disks and clocks of different rates', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(anyAction, {minLength: 10, maxLength: 40}),
		fc.nat(1_000_000),
		fc.boolean(),
		async (actions, networkSeed, isEveryNodeRestarted) => {
			// Yields to the event loop, because long runs would block the test runner's own messages.
			await setImmediate();
			const network = createTestNetwork({
				nodes,
				seed: networkSeed,
				limits: {
					snapshotEveryEntries: 8, trailingEntries: 3, maximumBatchEntries: 2, maximumChunkLength: 16, learnerTimeoutMs: 3000,
				},
				delayMs: {least: 1, most: 120},
				syncMs: {least: 0, most: 150},
				lossProbability: 0.05,
				duplicateProbability: 0.05,
			});
			network.run(3000);
			const {performAction, recover} = createActionRunner(network);
			for (const action of actions) {
				performAction(action);
			}

			const id = recover(isEveryNodeRestarted);
			expect(network.getOutcome(id)?.type).toBe('done');
			expect(new Set(names.map(name => network.getApplied(name).join(','))).size).toBe(1);
			expect(new Set(network.getApplied('o1')).size).toBe(network.getApplied('o1').length);
			expect(names.map(name => network.getFreshness(name))).toEqual(names.map(() => 'fresh'));
		},
	), {seed, numRuns: numberRuns});
});
