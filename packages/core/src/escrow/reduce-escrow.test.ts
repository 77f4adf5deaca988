import process from 'node:process';
import {toBrand, type NodeId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getResourceKey, rankForResource} from './resources.js';
import {
	createTestHolders, testLimit, testSlots, testTeam, testTimings, type TestHolders,
} from './test-holders.js';
import type {EscrowResource} from './types.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 1);
const firstNode = toBrand<NodeId>('node-0');
const runCount = Number(process.env.SAMPHIREMILL_RUNS ?? 25);

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
			holders.setLogDisconnected(node, true);
			return;
		}

		case 'joinLog': {
			holders.setLogDisconnected(node, false);
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
		for (const node of holders.nodes) {
			holders.setWaiting(node, 9);
		}

		advanceWithinBounds(holders, 300);
		for (const [step, pauseMs] of faults) {
			applyFault(holders, step);
			advanceWithinBounds(holders, pauseMs);
		}

		holders.network.healAll();
		holders.stopJobs();
		for (const node of holders.nodes) {
			holders.setLogDisconnected(node, false);
			holders.crash(node);
			holders.restart(node);
		}

		holders.commitView(holders.nodes);
		advanceWithinBounds(holders, 12_000);
		for (const [index, node] of holders.nodes.entries()) {
			holders.setWaiting(node, index === 0 ? 100 : 0);
		}

		advanceWithinBounds(holders, 1000);
		expectToHoldAll(holders, firstNode);
	}), {seed, numRuns: runCount});
});

function isolate(holders: TestHolders, node: NodeId) {
	holders.setLogDisconnected(node, true);
	for (const other of holders.nodes) {
		holders.network.cut(node, other);
		holders.network.cut(other, node);
	}
}

function expectToHoldAll(holders: TestHolders, node: NodeId) {
	for (const resource of holders.resources) {
		expect(holders.getHeld(node, resource)).toBe(getBound(resource));
	}
}

test('a holder that is cut off stays charged until its tasks have ended, then others get its part', () => {
	const holders = createTestHolders({
		nodeCount: 3, minionCount: 2, seed: 1, clockRates: [1, 0.98, 1.02],
	});
	const {resources: [slot]} = holders;
	for (const node of holders.nodes) {
		holders.setWaiting(node, 9);
	}

	advanceWithinBounds(holders, 1000);
	const others = holders.nodes.filter(node => slot !== undefined && node !== rankForResource(slot, holders.nodes)[0]);
	const [lost = firstNode, waiting = firstNode] = others;
	isolate(holders, lost);
	for (const node of holders.nodes) {
		holders.setWaiting(node, node === waiting || node === lost ? 9 : 0);
	}

	advanceWithinBounds(holders, 4000);
	expect(holders.getHeld(waiting, slot ?? {type: 'teamLimit', team: testTeam})).toBeLessThan(testSlots);
	advanceWithinBounds(holders, 16_000);
	expect(holders.getHeld(waiting, slot ?? {type: 'teamLimit', team: testTeam})).toBe(testSlots);
});

test('a home that is cut off from its data centre and the log stops lending before the next home begins', () => {
	for (const lost of createTestHolders({nodeCount: 3, minionCount: 2, seed: 1}).nodes) {
		const holders = createTestHolders({
			nodeCount: 3, minionCount: 2, seed: 1, clockRates: [0.98, 1, 1.02],
		});
		const rest = holders.nodes.filter(node => node !== lost);
		const [waiting = firstNode] = rest;
		holders.setWaiting(lost, 9);
		advanceWithinBounds(holders, 1000);
		isolate(holders, lost);
		holders.commitView(rest);
		holders.setWaiting(waiting, 9);
		advanceWithinBounds(holders, 14_000);
		expectToHoldAll(holders, waiting);
		for (const resource of holders.resources) {
			expect(holders.getHeld(lost, resource)).toBe(0);
		}
	}
});

test('a data centre cut off from the log goes on lending while a majority of it is there', () => {
	const holders = createTestHolders({nodeCount: 3, minionCount: 2, seed: 1});
	advanceWithinBounds(holders, 1000);
	const [lost = firstNode, waiting = firstNode, other = firstNode] = holders.nodes;
	for (const node of holders.nodes) {
		holders.setLogDisconnected(node, true);
	}

	const remainingResources = holders.resources.filter(resource => rankForResource(resource, holders.nodes)[0] !== lost);
	holders.crash(lost);
	holders.setWaiting(waiting, 9);
	advanceWithinBounds(holders, 12_000);
	expect(remainingResources).not.toEqual([]);
	for (const resource of remainingResources) {
		expect(holders.getHeld(waiting, resource)).toBe(getBound(resource));
	}

	holders.crash(other);
	// A report keeps the home in office for a lease, and its last answer is good for another one.
	advanceWithinBounds(holders, (2 * testTimings.leaseMs) + 200);
	for (const resource of remainingResources) {
		expect(holders.getHeld(waiting, resource)).toBe(0);
	}
});

test('a node that stops as planned gives everything back at once', () => {
	const holders = createTestHolders({nodeCount: 2, minionCount: 2, seed: 1});
	const [stopping = firstNode, waiting = firstNode] = holders.nodes;
	advanceWithinBounds(holders, 1000);
	holders.dispatch(stopping, {type: 'escrow/leave'});
	holders.setWaiting(waiting, 9);
	advanceWithinBounds(holders, 300);
	expectToHoldAll(holders, waiting);
});

test('a single node holds everything at once', () => {
	const holders = createTestHolders({nodeCount: 1, minionCount: 2, seed: 1});
	expectToHoldAll(holders, firstNode);
});
