/**
 * Measures how soon urgent and ordinary work starts through bursts and losses of workers and racks,
 * against first come, first served on the same trace.
 */
import {
	createMinions, formatTable, irmandade, tearmann, twoYears, type FleetSize,
} from './fleet.js';
import {createFcfsScheduler, createJobsScheduler} from './schedulers.js';
import {getValueAt, simulate, type Loss} from './simulation.js';
import {createBursts, getTrace} from './trace.js';

/** The bound on the start of urgent work, in milliseconds. */
const urgentBoundMs = 1400;

function listMinionsOf(size: FleetSize, isLost: (rack: string) => boolean): ReadonlySet<string> {
	return new Set(createMinions(size).filter(({rack}) => isLost(rack)).map(({minion}) => minion));
}

function listLosses(size: FleetSize): ReadonlyArray<{readonly name: string; readonly losses: readonly Loss[]}> {
	// At that time the first pool and the pools of the seventh rack are in their bursts.
	const first = createMinions(size)[0]?.minion ?? '';
	return [
		{name: 'none', losses: []},
		{name: 'a worker at 5 s', losses: [{atMs: 5000, minions: new Set([first])}]},
		{name: 'a rack at 5 s', losses: [{atMs: 5000, minions: listMinionsOf(size, rack => rack === 'rack-6')}]},
	];
}

function measure(size: FleetSize, durationMs: number): ReadonlyArray<ReadonlyArray<string | number>> {
	const weights = Array.from({length: size.teams}, (_, team) => 1 + (team % 3));
	const arrivals = getTrace({
		size,
		seed: 31,
		durationMs,
		meanLoad: 0.4,
		meanRunTimeMs: 400,
		urgentPart: 0.1,
		getBurst: createBursts(size.pools),
		teamParts: weights,
	});
	return listLosses(size).flatMap(({name: loss, losses}) => [
		{name: 'weighted max-min', scheduler: createJobsScheduler(size, weights)},
		{name: 'first come, first served', scheduler: createFcfsScheduler(size)},
	].map(({name, scheduler}) => {
		const {urgentStartsMs: urgent, ordinaryStartsMs: ordinary, ...result} = simulate({
			size, arrivals, scheduler, losses,
		});
		const late = urgent.filter(startMs => startMs > urgentBoundMs).length;
		return [
			size.name,
			loss,
			name,
			arrivals.length,
			...[0.5, 0.99, 0.999].map(quantile => Math.round(getValueAt(urgent, quantile))),
			`${late} of ${urgent.length}`,
			...[0.5, 0.99, 0.999].map(quantile => Math.round(getValueAt(ordinary, quantile))),
			result.refused,
			result.falseRefusals,
			result.mostOnOneMinion,
		];
	}));
}

const rows = [...measure(irmandade, 42_000), ...measure(tearmann, 42_000), ...measure(twoYears, 10_000)];
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
