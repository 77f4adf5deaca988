import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toBrand, type PoolId, type TeamId} from '@samphiremill/common';
import {computeDominantShares, computeShares} from './compute-shares.js';
import {
	createShareWindow, mergeShareReports, recordShares, reportShares,
} from './share-window.js';
import type {ShareDemand} from './types.js';

const toTeam = (id: string) => toBrand<TeamId>(id);
const slack = 1e-6;

const demands = fc.array(fc.record({
	weight: fc.integer({min: 1, max: 9}),
	demand: fc.integer({min: 0, max: 100}),
	limit: fc.option(fc.integer({min: 0, max: 60}), {nil: undefined}),
}), {maxLength: 12}).map(list => list.map(({limit, ...rest}, index): ShareDemand => ({
	team: toTeam(`team-${index}`), ...rest, ...(limit === undefined ? {} : {limit}),
})));

const getBound = ({demand, limit}: ShareDemand) => Math.min(demand, limit ?? demand);

test('shares use all capacity that is demanded, stay within limits, and no team below its demand and limit has less per weight than another', () => {
	fc.assert(fc.property(demands, fc.integer({min: 0, max: 300}), (list, capacity) => {
		const dues = computeShares({capacity, demands: list}).map(({due}) => due);
		const total = dues.reduce((sum, due) => sum + due, 0);
		const wanted = list.reduce((sum, demand) => sum + getBound(demand), 0);
		expect(total).toBeCloseTo(Math.min(capacity, wanted), 6);
		const level = Math.max(0, ...list.map(({weight}, index) => (dues[index] ?? 0) / weight));
		for (const [index, demand] of list.entries()) {
			const due = dues[index] ?? 0;
			expect(due).toBeLessThanOrEqual(getBound(demand) + slack);
			expect(due >= getBound(demand) - slack || due / demand.weight >= level - slack).toBe(true);
		}
	}), {seed: 11});
});

test('a team gains nothing by demanding more than its fair share', () => {
	fc.assert(fc.property(demands, fc.integer({min: 1, max: 300}), fc.integer({min: 1, max: 1_000_000}), (list, capacity, more) => {
		const [first, ...others] = list;
		fc.pre(first !== undefined);
		const due = computeShares({capacity, demands: list})[0]?.due ?? 0;
		const flooded = {...first, demand: first.demand + more};
		const after = computeShares({capacity, demands: [flooded, ...others]}).map(share => share.due);
		fc.pre(due < getBound(first) - slack);
		expect(after[0]).toBeCloseTo(due, 6);
	}), {seed: 12});
});

test('for several resources, teams with different task shapes get the same dominant share', () => {
	const shares = computeDominantShares({
		capacity: {cores: 90, memoryMb: 180},
		demands: [
			{
				team: toTeam('memory'), weight: 1, tasks: 1000, perTask: {cores: 1, memoryMb: 4},
			},
			{
				team: toTeam('cores'), weight: 1, tasks: 1000, perTask: {cores: 3, memoryMb: 1},
			},
		],
	});
	// Expected dominant shares, calculated by hand: 30 * 4 / 180 = 20 * 3 / 90 = 2 / 3.
	expect(shares.map(({due}) => Math.round(due * 1000) / 1000)).toEqual([30, 20]);
});

test('the report shows means over the window, drops older samples, and sums over hosts', () => {
	const pool = toBrand<PoolId>('counters');
	const createSample = (atMs: number, small: number, refused: number) => ({
		atMs,
		pools: [{
			pool,
			capacitySlots: 8,
			teams: [
				{
					team: toTeam('large'), weight: 1, demandedSlots: 1000, grantedSlots: 8 - small, usedSlots: 8 - small, refused,
				},
				{
					team: toTeam('small'), weight: 1, demandedSlots: small, grantedSlots: small, usedSlots: small, refused: 0,
				},
			],
		}],
	});
	let window = createShareWindow(40_000);
	for (let second = 0; second <= 80; second += 1) {
		window = recordShares(window, createSample(second * 1000, second < 60 ? 0 : 2, second));
	}

	const report = reportShares(window);
	expect(report).toMatchSnapshot();
	expect(window.buckets.length).toBe(4);
	expect(mergeShareReports([report, report])[0]?.refused).toBe(2 * (report[0]?.refused ?? 0));
});
