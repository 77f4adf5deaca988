/**
 * Measures the cost of membership and escrow on an entry host, and how long the detection of a lost entry host takes.
 *
 * Run with `node --expose-gc bench/dist/membership.js` after `npm run build`.
 */
import process from 'node:process';
import {createSeededRandom} from '@samphiremill/common';
import {createVirtualFleet, type FleetSize} from './virtual-fleet.js';

const warmUpMs = 8000;
const measuredMs = 20_000;
const detectionRuns = 100;

type Cost = {
	readonly meanSentBytes: number;
	readonly meanReceivedBytes: number;
	readonly maximumBytes: number;
	readonly sentMessages: number;
	readonly cpuPercent: number;
	readonly heapBytes: number;
};

function getHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function getMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}

function measureCost(size: FleetSize): Cost {
	const heapBefore = getHeapBytes();
	const fleet = createVirtualFleet(size);
	fleet.advance(warmUpMs);
	fleet.resetTraffic();
	const cpuBefore = process.cpuUsage();
	fleet.advance(measuredMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	const seconds = measuredMs / 1000;
	const traffic = fleet.nodes.map(node => fleet.getTraffic(node));
	return {
		meanSentBytes: getMean(traffic.map(({sentBytes}) => sentBytes)) / seconds,
		meanReceivedBytes: getMean(traffic.map(({receivedBytes}) => receivedBytes)) / seconds,
		maximumBytes: Math.max(...traffic.map(({sentBytes, receivedBytes}) => Math.max(sentBytes, receivedBytes))) / seconds,
		sentMessages: getMean(traffic.map(({sentMessages}) => sentMessages)) / seconds,
		cpuPercent: (user + system) / 1_000_000 / seconds / fleet.nodes.length * 100,
		heapBytes: (getHeapBytes() - heapBefore) / fleet.nodes.length,
	};
}

function printCost(size: FleetSize) {
	const cost = measureCost(size);
	const cells = [
		size.dataCentres,
		size.entryHosts,
		size.workers,
		size.teams,
		(cost.meanSentBytes / 1000).toFixed(1),
		(cost.meanReceivedBytes / 1000).toFixed(1),
		(cost.maximumBytes / 1000).toFixed(1),
		cost.sentMessages.toFixed(0),
		cost.cpuPercent.toFixed(2),
		(cost.heapBytes / 1024).toFixed(0),
	];
	console.log(`| ${cells.join(' | ')} |`);
}

function getQuantile(sorted: readonly number[], quantile: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? Number.NaN;
}

function measureDetectionTimes(): readonly number[] {
	const random = createSeededRandom(1);
	return Array.from({length: detectionRuns}, () => {
		const fleet = createVirtualFleet({
			dataCentres: 1, entryHosts: 3, workers: 0, teams: 0,
		});
		fleet.advance(2000 + Math.floor(random() * 1000));
		const lost = fleet.nodes[Math.floor(random() * 3)] ?? fleet.nodes[0];
		if (lost === undefined) {
			return Number.NaN;
		}

		fleet.crash(lost);
		const lostAtMs = fleet.getNow();
		while (fleet.listNeighbours(lost).some(node => fleet.getHealth(node, lost) !== 'dead')) {
			fleet.advance(1);
		}

		return fleet.getNow() - lostAtMs;
	}).toSorted((left, right) => left - right);
}

function printDetectionTimes() {
	const times = measureDetectionTimes();
	const cells = [0, 0.5, 0.9, 0.99, 1].map(quantile => getQuantile(times, quantile));
	console.log(`| ${cells.join(' | ')} |`);
}

/**
 * Prints how many slots of the pools one surviving entry host may use before and after the loss of an entry host that was
 * the home of some of them.
 */
function printUsableSlotsAroundLoss() {
	const fleet = createVirtualFleet({
		dataCentres: 1, entryHosts: 3, workers: 50, teams: 0,
	});
	fleet.advance(5000);
	const [lost, survivor, other] = fleet.nodes;
	if (lost === undefined || survivor === undefined || other === undefined) {
		return;
	}

	const countUsableSlots = () => {
		let held = 0;
		for (const {amount} of fleet.listRights(survivor)) {
			held += amount;
		}

		return held;
	};

	const printRow = (label: string) => {
		console.log(`| ${label} | ${countUsableSlots()} |`);
	};

	printRow('before the loss, idle');
	fleet.crash(lost);
	fleet.setWaitingJobs(survivor, 400);
	fleet.advance(10);
	printRow('10 ms after, the survivor wants all');
	fleet.advance(990);
	printRow('1 s after');
	fleet.advance(1000);
	fleet.commitView([survivor, other]);
	fleet.advance(100);
	printRow('2.1 s after, view changed at 2 s');
	fleet.advance(2000);
	printRow('4.1 s after');
	for (let seconds = 5; seconds <= 45; seconds += 5) {
		fleet.advance(5000);
		printRow(`about ${seconds + 4} s after`);
	}
}

const sizes: readonly FleetSize[] = [
	{
		dataCentres: 3, entryHosts: 9, workers: 75, teams: 6,
	},
	{
		dataCentres: 6, entryHosts: 18, workers: 300, teams: 25,
	},
	{
		dataCentres: 11, entryHosts: 33, workers: 620, teams: 57,
	},
	{
		dataCentres: 3, entryHosts: 9, workers: 300, teams: 6,
	},
	{
		dataCentres: 3, entryHosts: 9, workers: 75, teams: 57,
	},
	{
		dataCentres: 11, entryHosts: 33, workers: 75, teams: 6,
	},
];

console.log('Cost of one entry host, no job running (KB is 1000 bytes; CPU is of one core)\n');
console.log('| data centres | entry hosts | workers | teams | sent KB/s | received KB/s | most KB/s | messages/s | CPU % | heap KiB |');
console.log('|---|---|---|---|---|---|---|---|---|---|');
for (const size of sizes) {
	printCost(size);
}

console.log(`\nFrom the crash of an entry host to its being dead to both others, ms of virtual time, ${detectionRuns} runs\n`);
console.log('| least | p50 | p90 | p99 | most |\n|---|---|---|---|---|');
printDetectionTimes();
console.log('\nSlots that a survivor may use around the loss of one of three entry hosts, 50 minions of 8 slots\n');
console.log('| when | slots |\n|---|---|');
printUsableSlotsAroundLoss();
