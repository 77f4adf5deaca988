/**
 * Measures how long a wave over a whole fleet takes with each order of hosts, compared with the lower bound, and the
 * duration of one planning step.
 *
 * Run: `node bench/dist/waves.js`.
 */
import process from 'node:process';
import {
	orderByFailureDomain, orderById, orderByWholeRack, orderSingly, type OrderHosts,
} from '@samphiremill/core';
import {getRollOutLowerBoundMs, simulateRollOut, type FleetShape} from './wave-simulation.js';

const hourMs = 3_600_000;
const maximumSmallFleetWorkers = 100;
const seeds = [1, 2, 3];

const shapes: readonly FleetShape[] = [
	{
		name: 'Irmandade', workers: 40, pools: 5, dataCentres: 4, hostsPerRack: 4, budget: 1, failuresPerDay: 0.26, restartsPerDay: 5.1, tickMs: 5000,
	},
	{
		name: 'Tearmann', workers: 35, pools: 5, dataCentres: 3, hostsPerRack: 4, budget: 1, failuresPerDay: 0.23, restartsPerDay: 4.5, tickMs: 5000,
	},
	{
		name: 'two years', workers: 620, pools: 25, dataCentres: 11, hostsPerRack: 4, budget: 2, failuresPerDay: 4, restartsPerDay: 79, tickMs: 15_000,
	},
];

const hostOrders: ReadonlyArray<{readonly name: string; readonly orderHosts: OrderHosts}> = [
	{name: 'one at a time', orderHosts: orderSingly},
	{name: 'whole racks', orderHosts: orderByWholeRack},
	{name: 'by id', orderHosts: orderById},
	{name: 'by failure domain', orderHosts: orderByFailureDomain},
];

const getMean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
const getQuantile = (values: readonly number[], quantile: number) => values.toSorted((left, right) => left - right)[Math.floor(values.length * quantile)] ?? 0;
const printRow = (cells: readonly string[]) => {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
};

printRow(['fleet', 'order', 'hours', 'lower bound, hours', 'ratio', 'pauses', 'not returned', 'budget overdrawn by a grant', 'open racks', 'plan mean us', 'plan p99 us']);
printRow(Array.from({length: 11}, () => '---'));
for (const shape of shapes) {
	for (const {name, orderHosts} of hostOrders) {
		const runs = (shape.workers > maximumSmallFleetWorkers ? seeds.slice(0, 1) : seeds).map(seed => simulateRollOut({
			shape, orderHosts, maximumHostsAside: 7, seed,
		}));
		const cycleMs = getMean(runs.map(run => run.meanCycleMs));
		const lowerBoundMs = getRollOutLowerBoundMs({shape, maximumHostsAside: 7, cycleMs});
		const durationMs = getMean(runs.map(run => run.durationMs));
		const planDurationsMicroseconds = runs.flatMap(run => run.planDurationsMicroseconds);
		printRow([
			shape.name,
			name,
			(durationMs / hourMs).toFixed(2),
			(lowerBoundMs / hourMs).toFixed(2),
			(durationMs / lowerBoundMs).toFixed(2),
			String(runs.reduce((sum, run) => sum + run.pauses, 0)),
			String(runs.reduce((sum, run) => sum + shape.workers - run.returned, 0)),
			String(runs.reduce((sum, run) => sum + run.budgetOverruns, 0)),
			getMean(runs.map(run => run.meanRacksOutOfService)).toFixed(2),
			getMean(planDurationsMicroseconds).toFixed(0),
			getQuantile(planDurationsMicroseconds, 0.99).toFixed(0),
		]);
	}
}
