import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createClaimsCluster, type ClaimsCluster} from './test-claims-cluster.js';

const countDispatches = (cluster: ClaimsCluster): number[] => {
	const counts = new Map<string, number>();
	for (const {name} of cluster.getReport().dispatches) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts.values()];
};

const getAnswers = (cluster: ClaimsCluster, job: string): string[] =>
	cluster.getReport().answers.filter(answer => answer.job === job).map(({type}) => type);

test('a resend to another entry host gets the first outcome, another body is a conflict', () => {
	const cluster = createClaimsCluster({
		nodeCount: 3, seed: 1, lossRate: 0, duplicateRate: 0,
	});
	const first = cluster.submit({node: 0, key: 'deposit-1', body: 'a'});
	cluster.advance(200);
	const early = cluster.submit({node: 1, key: 'deposit-1', body: 'a'});
	cluster.advance(2000);
	const late = cluster.submit({node: 2, key: 'deposit-1', body: 'a'});
	const other = cluster.submit({node: 2, key: 'deposit-1', body: 'b'});
	cluster.advance(1000);
	expect(countDispatches(cluster)).toEqual([1]);
	expect({
		first: getAnswers(cluster, first),
		early: getAnswers(cluster, early),
		late: getAnswers(cluster, late),
		other: getAnswers(cluster, other),
	}).toMatchInlineSnapshot(`
		{
		  "early": [
		    "inProgress",
		    "replay",
		  ],
		  "first": [
		    "granted",
		  ],
		  "late": [
		    "replay",
		  ],
		  "other": [
		    "conflict",
		  ],
		}
	`);
});

test('a resend after the running entry host crashed is told that the job may have run', () => {
	const cluster = createClaimsCluster({
		nodeCount: 3, seed: 2, lossRate: 0, duplicateRate: 0,
	});
	cluster.submit({node: 0, key: 'deposit-2', body: 'a'});
	cluster.advance(450);
	expect(countDispatches(cluster)).toEqual([1]);
	cluster.crash(0);
	cluster.commitView();
	cluster.advance(3500);
	const resend = cluster.submit({node: 1, key: 'deposit-2', body: 'a'});
	cluster.advance(1000);
	expect(countDispatches(cluster)).toEqual([1]);
	expect(getAnswers(cluster, resend)).toContain('unknown');
});

type Operation
	= | {readonly type: 'submit'; readonly node: number; readonly key: number}
		| {readonly type: 'advance'; readonly durationMs: number}
		| {readonly type: 'cut'; readonly node: number; readonly isCutOff: boolean}
		| {readonly type: 'crash'; readonly node: number}
		| {readonly type: 'restart'; readonly node: number}
		| {readonly type: 'commitView'};

const node = fc.integer({min: 0, max: 2});
const operation: fc.Arbitrary<Operation> = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('submit' as const), node, key: fc.integer({min: 0, max: 3})})},
	{weight: 5, arbitrary: fc.record({type: fc.constant('advance' as const), durationMs: fc.integer({min: 50, max: 1500})})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('cut' as const), node, isCutOff: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('crash' as const), node})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('restart' as const), node})},
	{weight: 2, arbitrary: fc.constant({type: 'commitView' as const})},
);

const perform = (cluster: ClaimsCluster, step: Operation): void => {
	switch (step.type) {
		case 'submit': {
			cluster.submit({node: step.node, key: `key-${step.key}`, body: 'a'});
			return;
		}

		case 'advance': {
			cluster.advance(step.durationMs);
			return;
		}

		case 'cut': {
			cluster.setCutOff(step.node, step.isCutOff);
			return;
		}

		case 'crash': {
			cluster.crash(step.node);
			return;
		}

		case 'restart': {
			cluster.restart(step.node);
			return;
		}

		case 'commitView': {
			cluster.commitView();
		}
	}
};

const runs = Number(process.env.SAMPHIREMILL_RUNS ?? 300);
const seed = Number(process.env.SAMPHIREMILL_SEED ?? 20_261_204);

test('no key is dispatched twice, whatever is lost, cut off, restarted or appointed', () => {
	fc.assert(fc.property(
		fc.integer({min: 1, max: 1_000_000}),
		fc.array(operation, {minLength: 5, maxLength: 40}),
		(chance, operations) => {
			const cluster = createClaimsCluster({
				nodeCount: 3, seed: chance, lossRate: 0.15, duplicateRate: 0.2,
			});
			for (const step of operations) {
				perform(cluster, step);
			}

			cluster.advance(1000);
			expect(Math.max(0, ...countDispatches(cluster))).toBeLessThanOrEqual(1);
		},
	), {numRuns: runs, seed});
}, 300_000);

test('once all is healed, every new key is granted', () => {
	fc.assert(fc.property(
		fc.integer({min: 1, max: 1_000_000}),
		fc.array(operation, {minLength: 5, maxLength: 25}),
		(chance, operations) => {
			const cluster = createClaimsCluster({
				nodeCount: 3, seed: chance, lossRate: 0.1, duplicateRate: 0.1,
			});
			for (const step of operations) {
				perform(cluster, step);
			}

			for (const index of [0, 1, 2]) {
				cluster.setCutOff(index, false);
				cluster.restart(index);
			}

			cluster.commitView();
			cluster.advance(8000);
			const jobs = Array.from({length: 6}, (_, index) => cluster.submit({node: index, key: `fresh-${index}`, body: 'a'}));
			cluster.advance(4000);
			for (const job of jobs) {
				expect(['granted', 'unknown']).toContain(getAnswers(cluster, job)[0]);
			}
		},
	), {numRuns: Math.ceil(runs / 3), seed});
}, 300_000);
