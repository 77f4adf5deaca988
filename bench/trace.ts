/**
 * Seeded traces: who asks for what, when.
 */
import {createSeededRandom} from '@samphiremill/common';
import type {FleetSize} from './fleet.js';

/** One job as it is submitted. Times are in milliseconds. */
export type Arrival = {
	readonly job: number;
	readonly atMs: number;
	readonly pool: number;
	readonly team: number;
	readonly isUrgent: boolean;
	readonly runTimeMs: number;
	readonly deadlineAtMs: number;
};

/** How a trace is drawn. */
export type TraceOptions = {
	readonly size: FleetSize;
	readonly seed: number;
	readonly durationMs: number;
	/** The slots that the mean load takes, as a part of all slots. */
	readonly meanLoad: number;
	readonly meanRunTimeMs: number;
	readonly urgentShare: number;
	/** How many times its mean a pool asks at a time in milliseconds. */
	readonly getRateFactor: (pool: number, nowMs: number) => number;
	/** Each team's part of the arrivals. */
	readonly teamShares: readonly number[];
};

const burstDurationMs = 8000;
const burstFactor = 5;
const quietFactor = 0.05;
/** The quiet time that makes the mean of burst and quiet time come out as 1. */
const quietDurationMs = burstDurationMs * (burstFactor - 1) / (1 - quietFactor);
const deadlineMs = 30_000;
const urgentDeadlineMs = 10_000;

/**
 * @param pools - How many pools there are.
 * @returns Bursts of five times the mean for eight seconds, then a twentieth, each pool in its turn.
 */
export function createBurstPattern(pools: number): TraceOptions['getRateFactor'] {
	const periodMs = burstDurationMs + quietDurationMs;
	return (pool, nowMs) => {
		const phaseMs = (nowMs + (periodMs * pool / pools)) % periodMs;
		return phaseMs < burstDurationMs ? burstFactor : quietFactor;
	};
}

function drawExponential(random: () => number, mean: number): number {
	return -mean * Math.log(1 - random());
}

function drawTeam(random: () => number, shares: readonly number[]): number {
	let remaining = random() * shares.reduce((sum, part) => sum + part, 0);
	const team = shares.findIndex(part => {
		remaining -= part;
		return remaining < 0;
	});
	return Math.max(0, team);
}

function drawPoolArrivals(pool: number, options: TraceOptions, random: () => number): ReadonlyArray<Omit<Arrival, 'job'>> {
	const {size, durationMs, meanLoad, meanRunTimeMs, urgentShare: urgentPart, getRateFactor: getBurst, teamShares: teamParts} = options;
	const slots = size.workers * size.slots / size.pools;
	const meanGapMs = meanRunTimeMs / (slots * meanLoad);
	const arrivals: Array<Omit<Arrival, 'job'>> = [];
	let atMs = drawExponential(random, meanGapMs / getBurst(pool, 0));
	while (atMs < durationMs) {
		const isUrgent = random() < urgentPart;
		arrivals.push({
			atMs,
			pool,
			team: drawTeam(random, teamParts),
			isUrgent,
			runTimeMs: drawExponential(random, meanRunTimeMs),
			deadlineAtMs: atMs + (isUrgent ? urgentDeadlineMs : deadlineMs),
		});
		atMs += drawExponential(random, meanGapMs / getBurst(pool, atMs));
	}

	return arrivals;
}

/**
 * @param options - How the trace is drawn.
 * @returns The jobs in the order of their submission, numbered in that order.
 */
export function createTrace(options: TraceOptions): readonly Arrival[] {
	const random = createSeededRandom(options.seed);
	return Array.from({length: options.size.pools}, (_, pool) => drawPoolArrivals(pool, options, random))
		.flat()
		.toSorted((left, right) => left.atMs - right.atMs)
		.map((arrival, job) => ({...arrival, job}));
}
