/**
 * Measures how close each team stays to its fair share while one team submits far more than its fair share. Compares
 * the jobs reducer with first come, first served on the same trace.
 */
import {computeShares} from '@samphiremill/core';
import {
	formatTable, irmandadeFleet, tearmannFleet, toTeam, twoYearTarget, type FleetSize,
} from './fleet.js';
import {createFcfsScheduler, createJobsScheduler} from './schedulers.js';
import {getQuantileOrZero, simulate, type Scheduler} from './simulation.js';
import {createTrace} from './trace.js';

/** Difference between the slots that a team holds in a pool and its fair share of them. */
type ShareDeviation = {
	/** Absolute difference, as a fraction of the pool's slots. */
	readonly capacityFraction: number;
	/** Slots held, divided by the fair share. */
	readonly ratio: number;
};

/** The queues fill during this time; nothing is measured yet. */
const warmUpMs = 3000;
const overloadFactor = 10;

function listShareDeviations(size: FleetSize, scheduler: Scheduler, weights: readonly number[]): readonly ShareDeviation[] {
	const capacity = size.workers * size.slots / size.pools;
	return Array.from({length: size.pools}, (_, pool) => pool).flatMap(pool => {
		const demands = weights.map((weight, team) => ({
			team: toTeam(team),
			weight,
			demand: scheduler.countRunning(pool, team) + scheduler.countWaiting(pool, team),
		}));
		return computeShares({capacity, demands})
			.map(({due}, team) => ({due, held: scheduler.countRunning(pool, team)}))
			.filter(({due, held}) => due > 0 || held > 0)
			.map(({due, held}) => ({capacityFraction: Math.abs(held - due) / capacity, ratio: held / Math.max(due, 1e-9)}));
	});
}

function getJainIndex(ratios: readonly number[]): number {
	const sum = ratios.reduce((total, ratio) => total + ratio, 0);
	const squares = ratios.reduce((total, ratio) => total + (ratio ** 2), 0);
	return squares === 0 ? 1 : (sum ** 2) / (ratios.length * squares);
}

function measure(size: FleetSize, durationMs: number): ReadonlyArray<ReadonlyArray<string | number>> {
	const weights = Array.from({length: size.teams}, (_, team) => 1 + (team % 3));
	// Each team submits 1.1 times its weighted share of the capacity; the first team submits ten times as much.
	const teamShares = weights.map((weight, team) => team === 0 ? weight * overloadFactor : weight);
	const demandFactor = teamShares.reduce((sum, share) => sum + share, 0) / weights.reduce((sum, weight) => sum + weight, 0);
	const arrivals = createTrace({
		size, seed: 21, durationMs, meanLoad: 1.1 * demandFactor, meanRunTimeMs: 400, urgentShare: 0.1, getRateFactor: () => 1, teamShares,
	});
	const schedulers = [
		{name: 'weighted max-min', scheduler: createJobsScheduler(size, weights, {maximumWaitingJobs: 500})},
		{name: 'first come, first served', scheduler: createFcfsScheduler(size)},
	];
	return schedulers.map(({name, scheduler}) => {
		const deviations: ShareDeviation[] = [];
		const result = simulate({
			size,
			arrivals,
			scheduler,
			onSecond(nowMs) {
				if (nowMs >= warmUpMs && nowMs < durationMs) {
					deviations.push(...listShareDeviations(size, scheduler, weights));
				}
			},
		});
		const capacityFractions = deviations.map(({capacityFraction}) => capacityFraction);
		const otherTeamsDelaysMs = result.startDelaysByTeamMs.slice(1).flat();
		return [
			size.name,
			name,
			arrivals.length,
			(100 * Math.max(...capacityFractions)).toFixed(1),
			(100 * capacityFractions.reduce((sum, fraction) => sum + fraction, 0) / capacityFractions.length).toFixed(2),
			getJainIndex(deviations.map(({ratio}) => ratio)).toFixed(3),
			Math.round(getQuantileOrZero(otherTeamsDelaysMs, 0.5)),
			Math.round(getQuantileOrZero(otherTeamsDelaysMs, 0.99)),
			result.falseRefusals,
		];
	});
}

const rows = [...measure(irmandadeFleet, 12_000), ...measure(tearmannFleet, 12_000), ...measure(twoYearTarget, 5000)];
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
