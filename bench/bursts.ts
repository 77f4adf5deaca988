/**
 * Measures how soon urgent and ordinary jobs start during bursts and after the loss of a worker or a rack. Compares
 * the jobs reducer with first come, first served on the same trace.
 */
import {
	createMinions, formatTable, irmandadeFleet, tearmannFleet, twoYearTarget, type FleetSize,
} from './fleet.js';
import {createFcfsScheduler, createJobsScheduler} from './schedulers.js';
import {getQuantileOrZero, simulate, type MinionLoss} from './simulation.js';
import {createBurstPattern, createTrace} from './trace.js';

/** Longest acceptable delay from the submission of an urgent job to its start. */
const maximumUrgentStartDelayMs = 1400;

function listMinionsInRacks(size: FleetSize, isRackLost: (rack: string) => boolean): ReadonlySet<string> {
	return new Set(createMinions(size).filter(({rack}) => isRackLost(rack)).map(({minion}) => minion));
}

function listLosses(size: FleetSize): ReadonlyArray<{readonly name: string; readonly losses: readonly MinionLoss[]}> {
	// At 5 s the first pool and the pools of the seventh rack (rack-6) are in their bursts.
	const firstMinion = createMinions(size)[0]?.minion ?? '';
	return [
		{name: 'none', losses: []},
		{name: 'a worker at 5 s', losses: [{atMs: 5000, minions: new Set([firstMinion])}]},
		{name: 'a rack at 5 s', losses: [{atMs: 5000, minions: listMinionsInRacks(size, rack => rack === 'rack-6')}]},
	];
}

function measure(size: FleetSize, durationMs: number): ReadonlyArray<ReadonlyArray<string | number>> {
	const weights = Array.from({length: size.teams}, (_, team) => 1 + (team % 3));
	const arrivals = createTrace({
		size,
		seed: 31,
		durationMs,
		meanLoad: 0.4,
		meanRunTimeMs: 400,
		urgentShare: 0.1,
		getRateFactor: createBurstPattern(size.pools),
		teamShares: weights,
	});
	return listLosses(size).flatMap(({name: loss, losses}) => [
		{name: 'weighted max-min', scheduler: createJobsScheduler(size, weights)},
		{name: 'first come, first served', scheduler: createFcfsScheduler(size)},
	].map(({name, scheduler}) => {
		const {urgentStartDelaysMs: urgent, ordinaryStartDelaysMs: ordinary, ...result} = simulate({
			size, arrivals, scheduler, losses,
		});
		const lateCount = urgent.filter(delayMs => delayMs > maximumUrgentStartDelayMs).length;
		return [
			size.name,
			loss,
			name,
			arrivals.length,
			...[0.5, 0.99, 0.999].map(quantile => Math.round(getQuantileOrZero(urgent, quantile))),
			`${lateCount} of ${urgent.length}`,
			...[0.5, 0.99, 0.999].map(quantile => Math.round(getQuantileOrZero(ordinary, quantile))),
			result.refused,
			result.falseRefusals,
			result.maximumJobsPerMinion,
		];
	}));
}

const rows = [...measure(irmandadeFleet, 42_000), ...measure(tearmannFleet, 42_000), ...measure(twoYearTarget, 10_000)];
console.log(formatTable([
	[
		'fleet',
		'loss',
		'policy',
		'jobs',
		'urgent p50 ms',
		'p99',
		'p99.9',
		'later than 1.4 s',
		'ordinary p50 ms',
		'p99',
		'p99.9',
		'refused',
		'false refusals',
		'most jobs on a minion',
	],
	...rows,
]));
