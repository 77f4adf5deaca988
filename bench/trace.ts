/**
 * Draws seeded traces of job arrivals, so that several schedulers can be compared on the same jobs.
 */
import {createSeededRandom} from '@samphiremill/common';
import type {FleetSize} from './fleet.js';

/** One job at its submission. Times are in milliseconds of virtual time. */
export type Arrival = {
	readonly job: number;
	readonly atMs: number;
	readonly pool: number;
	readonly team: number;
	readonly isUrgent: boolean;
	readonly runTimeMs: number;
	readonly deadlineAtMs: number;
};

/** Parameters of a trace. */
export type TraceOptions = {
	readonly size: FleetSize;
	readonly seed: number;
	readonly durationMs: number;
	/** Fraction of all slots that the mean load occupies. */
	readonly meanLoad: number;
	readonly meanRunTimeMs: number;
	readonly urgentShare: number;
	/** Returns the arrival rate of a pool at the given time, as a multiple of its mean rate. */
	readonly getRateFactor: (pool: number, nowMs: number) => number;
	/** Relative share of the arrivals per team. The shares need not add up to 1. */
	readonly teamShares: readonly number[];
};

const burstDurationMs = 8000;
const burstFactor = 5;
const quietFactor = 0.05;
/** Chosen so that the rate factor averages 1 over one burst and one quiet period. */
const quietDurationMs = burstDurationMs * (burstFactor - 1) / (1 - quietFactor);
const deadlineMs = 30_000;
const urgentDeadlineMs = 10_000;

/**
 * Creates a rate pattern with bursts: five times the mean rate for eight seconds, then a twentieth of the mean
 * rate. The bursts of the pools are staggered evenly over one period.
 *
 * @param pools - Number of pools.
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
	let remaining = random() * shares.reduce((sum, share) => sum + share, 0);
	const team = shares.findIndex(share => {
		remaining -= share;
		return remaining < 0;
	});
	return Math.max(0, team);
}

function drawPoolArrivals(pool: number, options: TraceOptions, random: () => number): ReadonlyArray<Omit<Arrival, 'job'>> {
	const {size, durationMs, meanLoad, meanRunTimeMs, urgentShare, getRateFactor, teamShares} = options;
	const slots = size.workers * size.slots / size.pools;
	const meanGapMs = meanRunTimeMs / (slots * meanLoad);
	const arrivals: Array<Omit<Arrival, 'job'>> = [];
	let atMs = drawExponential(random, meanGapMs / getRateFactor(pool, 0));
	while (atMs < durationMs) {
		const isUrgent = random() < urgentShare;
		arrivals.push({
			atMs,
			pool,
			team: drawTeam(random, teamShares),
			isUrgent,
			runTimeMs: drawExponential(random, meanRunTimeMs),
			deadlineAtMs: atMs + (isUrgent ? urgentDeadlineMs : deadlineMs),
		});
		atMs += drawExponential(random, meanGapMs / getRateFactor(pool, atMs));
	}

	return arrivals;
}

/** Draws a trace. The jobs are in the order of their submission and numbered in that order. */
export function createTrace(options: TraceOptions): readonly Arrival[] {
	const random = createSeededRandom(options.seed);
	return Array.from({length: options.size.pools}, (_, pool) => drawPoolArrivals(pool, options, random))
		.flat()
		.toSorted((left, right) => left.atMs - right.atMs)
		.map((arrival, job) => ({...arrival, job}));
}
