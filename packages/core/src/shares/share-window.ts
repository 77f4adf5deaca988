/**
 * Shows over a window of time what each team was due, held and used in each pool, and how often it
 * was refused, so that everyone can see that no team took more than its due.
 */
import type {PoolId, TeamId} from '@samphiremill/common';
import {computeShares} from './compute-shares.js';

/** One team's work in a pool at one moment. */
export type TeamShareSample = {
	readonly team: TeamId;
	readonly weight: number;
	/** The most slots that the team may hold; absent means no bound. */
	readonly limit?: number;
	/** Slots that the team could use: for its running and its waiting jobs. */
	readonly demandedSlots: number;
	/** Slots that are held for the team's jobs. */
	readonly grantedSlots: number;
	/** Slots on which a job of the team was started. */
	readonly usedSlots: number;
	/** Jobs of the team refused since the start of the process. */
	readonly refused: number;
};

/** One pool at one moment. */
export type PoolShareSample = {
	readonly pool: PoolId;
	readonly capacitySlots: number;
	readonly teams: readonly TeamShareSample[];
};

/** What one team was due and had in one pool, as means over the window. */
export type ShareReportLine = {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly dueSlots: number;
	readonly grantedSlots: number;
	readonly usedSlots: number;
	readonly refused: number;
};

type ShareTotals = {
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly dueSlotMs: number;
	readonly grantedSlotMs: number;
	readonly usedSlotMs: number;
	readonly refused: number;
};

type ShareBucket = {
	readonly startMs: number;
	readonly endMs: number;
	readonly totals: readonly ShareTotals[];
};

type TimedSample = {
	readonly atMs: number;
	readonly pools: readonly PoolShareSample[];
};

/** How much time samples are summed up over, in milliseconds. */
const bucketDurationMs = 10_000;

/** The samples of the last while, summed up in intervals. */
export type ShareWindow = {
	/** How long the window is, in milliseconds. */
	readonly durationMs: number;
	readonly buckets: readonly ShareBucket[];
	readonly last?: TimedSample;
};

/**
 * @param durationMs - How far back the window reaches, in milliseconds.
 * @returns A window without samples.
 */
export function createShareWindow(durationMs: number): ShareWindow {
	return {durationMs, buckets: []};
}

function hasUsage({dueSlotMs, grantedSlotMs, usedSlotMs, refused}: ShareTotals): boolean {
	return dueSlotMs > 0 || grantedSlotMs > 0 || usedSlotMs > 0 || refused > 0;
}

/** What held since the last sample is counted for the time until this one. */
function sumPool(options: {
	readonly pool: PoolShareSample;
	readonly before: PoolShareSample | undefined;
	readonly durationMs: number;
}): readonly ShareTotals[] {
	const {pool: {pool, teams}, before, durationMs} = options;
	const previousTeams = new Map(before?.teams.map(team => [team.team, team]));
	const shares = computeShares({
		capacity: before?.capacitySlots ?? 0,
		demands: (before?.teams ?? []).map(({demandedSlots, ...team}) => ({...team, demand: demandedSlots})),
	});
	const fairShares = new Map(shares.map(({team, due}) => [team, due]));
	return teams.map(({team, refused}): ShareTotals => {
		const held = previousTeams.get(team);
		return {
			pool,
			team,
			dueSlotMs: (fairShares.get(team) ?? 0) * durationMs,
			grantedSlotMs: (held?.grantedSlots ?? 0) * durationMs,
			usedSlotMs: (held?.usedSlots ?? 0) * durationMs,
			refused: refused - (held?.refused ?? 0),
		};
	}).filter(totals => hasUsage(totals));
}

function getTotalsKey({pool, team}: ShareTotals): string {
	return `${pool}/${team}`;
}

function mergeTotals(left: readonly ShareTotals[], right: readonly ShareTotals[]): readonly ShareTotals[] {
	const sums = new Map(left.map(totals => [getTotalsKey(totals), totals]));
	for (const totals of right) {
		const before = sums.get(getTotalsKey(totals));
		sums.set(getTotalsKey(totals), before === undefined
			? totals
			: {
				pool: totals.pool,
				team: totals.team,
				dueSlotMs: before.dueSlotMs + totals.dueSlotMs,
				grantedSlotMs: before.grantedSlotMs + totals.grantedSlotMs,
				usedSlotMs: before.usedSlotMs + totals.usedSlotMs,
				refused: before.refused + totals.refused,
			});
	}

	return [...sums.values()];
}

/** Adds to the newest interval until it is full, so that a long window stays small. */
function addBucket(buckets: readonly ShareBucket[], bucket: ShareBucket): readonly ShareBucket[] {
	const newest = buckets.at(-1);
	if (newest === undefined || bucket.endMs - newest.startMs > bucketDurationMs) {
		return [...buckets, bucket];
	}

	const totals = mergeTotals(newest.totals, bucket.totals);
	return [...buckets.slice(0, -1), {startMs: newest.startMs, endMs: bucket.endMs, totals}];
}

/**
 * Takes one more sample in.
 *
 * @param window - The window before.
 * @param sample - The pools at this moment, and the time in milliseconds.
 * @returns The window with what held since the last sample, without what is too old.
 */
export function recordShares(window: ShareWindow, sample: TimedSample): ShareWindow {
	const {last, durationMs} = window;
	if (last === undefined) {
		return {...window, last: sample};
	}

	const previousPools = new Map(last.pools.map(pool => [pool.pool, pool]));
	const totals = sample.pools.flatMap(pool => sumPool({
		pool, before: previousPools.get(pool.pool), durationMs: sample.atMs - last.atMs,
	}));
	const recent = window.buckets.filter(({endMs}) => endMs > sample.atMs - durationMs);
	const buckets = addBucket(recent, {startMs: last.atMs, endMs: sample.atMs, totals});
	return {durationMs, last: sample, buckets};
}

/** Sums lines of the same pool and team. */
function sumLines(lines: readonly ShareReportLine[]): readonly ShareReportLine[] {
	const sums = new Map<string, ShareReportLine>();
	for (const line of lines) {
		const key = `${line.pool}/${line.team}`;
		const before = sums.get(key);
		sums.set(key, before === undefined
			? line
			: {
				pool: line.pool,
				team: line.team,
				dueSlots: before.dueSlots + line.dueSlots,
				grantedSlots: before.grantedSlots + line.grantedSlots,
				usedSlots: before.usedSlots + line.usedSlots,
				refused: before.refused + line.refused,
			});
	}

	return [...sums.values()];
}

/**
 * @param window - The window.
 * @returns Each team's means over the whole window, by pool.
 */
export function reportShares({buckets}: ShareWindow): readonly ShareReportLine[] {
	const first = buckets[0];
	const durationMs = first === undefined ? 0 : (buckets.at(-1)?.endMs ?? 0) - first.startMs;
	if (durationMs <= 0) {
		return [];
	}

	return sumLines(buckets.flatMap(({totals}) => totals.map(total => ({
		pool: total.pool,
		team: total.team,
		dueSlots: total.dueSlotMs / durationMs,
		grantedSlots: total.grantedSlotMs / durationMs,
		usedSlots: total.usedSlotMs / durationMs,
		refused: total.refused,
	}))));
}

/**
 * @param reports - The reports of several entry hosts over the same window.
 * @returns One report for all of them.
 */
export function mergeShareReports(reports: ReadonlyArray<readonly ShareReportLine[]>): readonly ShareReportLine[] {
	return sumLines(reports.flat());
}
