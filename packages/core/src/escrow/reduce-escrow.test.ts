import process from 'node:process';
import {toBrand, type NodeId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getResourceKey} from './resources.js';
import {
	createTestHolders, testLimit, testSlots, type TestHolders,
} from './test-holders.js';
import type {EscrowResource} from './types.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 1);
const firstNode = toBrand<NodeId>('node-0');
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 25);

function getBound(resource: EscrowResource): number {
	return resource.type === 'slot' ? testSlots : testLimit;
}

function expectWithinBounds(holders: TestHolders) {
	const sums = holders.listSums();
	for (const resource of holders.resources) {
		expect(sums.get(getResourceKey(resource))).toBeLessThanOrEqual(getBound(resource));
	}
}

function advanceWithinBounds(holders: TestHolders, durationMs: number) {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
		holders.advance(10);
		expectWithinBounds(holders);
	}
}

const fault = fc.oneof(
	fc.record({type: fc.constant('crash' as const), node: fc.nat(2)}),
	fc.record({type: fc.constant('restart' as const), node: fc.nat(2)}),
	fc.record({type: fc.constant('cut' as const), node: fc.nat(2), to: fc.nat(2)}),
	fc.record({type: fc.constant('cutLog' as const), node: fc.nat(2)}),
	fc.record({type: fc.constant('joinLog' as const), node: fc.nat(2)}),
	fc.record({type: fc.constant('heal' as const)}),
	fc.record({type: fc.constant('view' as const), members: fc.uniqueArray(fc.nat(2), {minLength: 1})}),
	fc.record({type: fc.constant('demand' as const), node: fc.nat(2), waiting: fc.nat(9)}),
	fc.record({
		type: fc.constant('noise' as const), dropRate: fc.double({min: 0, max: 0.4, noNaN: true}), maximumDelayMs: fc.nat(4000),
	}),
);

function applyFault(holders: TestHolders, step: typeof fault extends fc.Arbitrary<infer Value> ? Value : never) {
	const nodes = holders.nodes.slice('node' in step ? step.node : 0);
	const [node] = nodes;
	if (node === undefined) {
		return;
	}

	switch (step.type) {
		case 'crash': {
			holders.crash(node);
			return;
		}

		case 'restart': {
			holders.restart(node);
			return;
		}

		case 'cut': {
			holders.network.cut(node, holders.nodes[step.to] ?? node);
			return;
		}

		case 'cutLog': {
			holders.setLogCut(node, true);
			return;
		}

		case 'joinLog': {
			holders.setLogCut(node, false);
			return;
		}

		case 'heal': {
			holders.network.healAll();
			return;
		}

		case 'view': {
			holders.commitView(step.members.flatMap(index => holders.nodes[index] ?? []));
			return;
		}

		case 'demand': {
			holders.setWaiting(node, step.waiting);
			return;
		}

		case 'noise': {
			holders.network.setFaults({...step, duplicateRate: 0.2});
		}
	}
}

test('rights and running jobs never sum past a bound, and nothing stays charged after healing', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fault, fc.nat(2500)), {maxLength: 14}), fc.integer(), (faults, networkSeed) => {
		const holders = createTestHolders({
			nodeCount: 3, minionCount: 2, seed: networkSeed, clockRates: [1, 0.98, 1.02],
		});
		advanceWithinBounds(holders, 300);
		for (const [step, pauseMs] of faults) {
			applyFault(holders, step);
			advanceWithinBounds(holders, pauseMs);
		}

		holders.network.healAll();
		holders.stopJobs();
		for (const node of holders.nodes) {
			holders.setLogCut(node, false);
			holders.crash(node);
			holders.restart(node);
		}

		holders.commitView(holders.nodes);
		advanceWithinBounds(holders, 12_000);
		for (const [index, node] of holders.nodes.entries()) {
			holders.setWaiting(node, index === 0 ? 100 : 0);
		}

		advanceWithinBounds(holders, 1000);
		for (const resource of holders.resources) {
			expect(holders.getHeld(firstNode, resource)).toBe(getBound(resource));
		}
	}), {seed, numRuns: numberRuns});
});

test('a single node holds everything at once', () => {
	const holders = createTestHolders({nodeCount: 1, minionCount: 2, seed: 1});
	for (const resource of holders.resources) {
		expect(holders.getHeld(firstNode, resource)).toBe(getBound(resource));
	}
});
