/**
 * Measures how near each team comes to its due while one team floods, against first come, first
 * served on the same trace.
 */
import {computeShares} from '@samphiremill/core';
import {
	formatTable, irmandade, tearmann, toTeam, twoYears, type FleetSize,
} from './fleet.js';
import {createFcfsScheduler, createJobsScheduler} from './schedulers.js';
import {getValueAt, simulate, type Scheduler} from './simulation.js';
import {getTrace} from './trace.js';

type Distance = {
	/** Between what a team has and what it is due, as parts of the pool's slots. */
	readonly part: number;
	/** What a team has for what it is due. */
	readonly ratio: number;
};

/** Time in which the queues fill before anything is counted, in milliseconds. */
const warmUpMs = 3000;
const floodFactor = 10;

function listDistances(size: FleetSize, scheduler: Scheduler, weights: readonly number[]): readonly Distance[] {
	const capacity = size.workers * size.slots / size.pools;
	return Array.from({length: size.pools}, (_, pool) => pool).flatMap(pool => {
		const demands = weights.map((weight, team) => ({
			team: toTeam(team),
			weight,
			demand: scheduler.countRunning(pool, team) + scheduler.countWaiting(pool, team),
		}));
		return computeShares({capacity, demands})
			.map(({due}, team) => ({due, has: scheduler.countRunning(pool, team)}))
			.filter(({due, has}) => due > 0 || has > 0)
			.map(({due, has}) => ({part: Math.abs(has - due) / capacity, ratio: has / Math.max(due, 1e-9)}));
	});
}

function getJainIndex(ratios: readonly number[]): number {
	const sum = ratios.reduce((total, ratio) => total + ratio, 0);
	const squares = ratios.reduce((total, ratio) => total + (ratio ** 2), 0);
	return squares === 0 ? 1 : (sum ** 2) / (ratios.length * squares);
}

function measure(size: FleetSize, durationMs: number): ReadonlyArray<ReadonlyArray<string | number>> {
	const weights = Array.from({length: size.teams}, (_, team) => 1 + (team % 3));
	// Each team asks for somewhat more than its due, the first one for ten times as much as that.
	const teamParts = weights.map((weight, team) => team === 0 ? weight * floodFactor : weight);
	const asked = teamParts.reduce((sum, part) => sum + part, 0) / weights.reduce((sum, weight) => sum + weight, 0);
	const arrivals = getTrace({
		size, seed: 21, durationMs, meanLoad: 1.1 * asked, meanRunTimeMs: 400, urgentPart: 0.1, getBurst: () => 1, teamParts,
	});
	const schedulers = [
		{name: 'weighted max-min', scheduler: createJobsScheduler(size, weights, {maximumWaitingJobs: 500})},
		{name: 'first come, first served', scheduler: createFcfsScheduler(size)},
	];
	return schedulers.map(({name, scheduler}) => {
		const distances: Distance[] = [];
		const result = simulate({
			size,
			arrivals,
			scheduler,
			onSecond(nowMs) {
				if (nowMs >= warmUpMs && nowMs < durationMs) {
					distances.push(...listDistances(size, scheduler, weights));
				}
			},
		});
		const parts = distances.map(({part}) => part);
		const small = result.startsByTeam.slice(1).flat();
		return [
			size.name,
			name,
			arrivals.length,
			(100 * Math.max(...parts)).toFixed(1),
			(100 * parts.reduce((sum, part) => sum + part, 0) / parts.length).toFixed(2),
			getJainIndex(distances.map(({ratio}) => ratio)).toFixed(3),
			Math.round(getValueAt(small, 0.5)),
			Math.round(getValueAt(small, 0.99)),
			result.falseRefusals,
		];
	});
}

const rows = [...measure(irmandade, 12_000), ...measure(tearmann, 12_000), ...measure(twoYears, 5000)];
console.log(formatTable([
	[
		'fleet',
		'policy',
		'jobs',
		'greatest distance, % of pool',
		'mean distance, % of pool',
		'Jain\'s index',
		'others\' start p50 ms',
		'p99 ms',
		'false refusals',
	],
	...rows,
]));
