/**
 * Weighted max-min fairness by water-filling, over one resource and over several.
 */
import type {
	ResourceAmounts, Share, ShareDemand, TaskDemand,
} from './types.js';

type CappedDemand = {
	readonly index: number;
	readonly weight: number;
	/** The most that the team can take. */
	readonly bound: number;
};

function toCappedDemand({weight, demand, limit}: ShareDemand, index: number): CappedDemand {
	return {index, weight, bound: Math.max(0, Math.min(demand, limit ?? Number.POSITIVE_INFINITY))};
}

/**
 * Divides a capacity so that no team can get more without a team that has less for its weight
 * getting less. What a team does not ask for goes to the others.
 *
 * @param options - The capacity, and each team's weight, demand and limit in the capacity's unit.
 * @returns What each team is due, in the order of the demands.
 */
export function computeShares(options: {
	readonly capacity: number;
	readonly demands: readonly ShareDemand[];
}): readonly Share[] {
	const cappedDemands = options.demands.map((demand, index) => toCappedDemand(demand, index));
	const ordered = cappedDemands.toSorted((left, right) => (left.bound / left.weight) - (right.bound / right.weight));
	const dues = new Map<number, number>();
	let remainingCapacity = Math.max(0, options.capacity);
	let remainingWeight = cappedDemands.reduce((sum, {weight}) => sum + weight, 0);
	for (const {index, weight, bound} of ordered) {
		const due = Math.min(bound, remainingCapacity * weight / remainingWeight);
		dues.set(index, due);
		remainingCapacity -= due;
		remainingWeight -= weight;
	}

	return options.demands.map(({team}, index) => ({team, due: dues.get(index) ?? 0}));
}

/**
 * @param perTask - What one task takes.
 * @param capacity - What there is in all.
 * @returns The greatest part that one task takes of any resource, from 0; infinite where it takes
 * of a resource that there is none of.
 */
export function getDominantShare(perTask: ResourceAmounts, capacity: ResourceAmounts): number {
	const parts = Object.entries(perTask)
		.filter(([, amount]) => amount > 0)
		.map(([name, amount]) => amount / (capacity[name] ?? 0));
	return Math.max(0, ...parts);
}

type FillingTeam = {
	readonly index: number;
	readonly dominantShare: number;
	readonly demand: TaskDemand;
	readonly bound: number;
};

function toFillingTeam(demand: TaskDemand, index: number, capacity: ResourceAmounts): FillingTeam {
	const part = getDominantShare(demand.perTask, capacity);
	const canRun = Number.isFinite(part) && part > 0;
	const bound = canRun ? Math.min(demand.tasks, demand.limit ?? Number.POSITIVE_INFINITY) : 0;
	return {
		index, dominantShare: part, demand, bound,
	};
}

/** @returns How many tasks a team gains while the dominant share for a weight of 1 grows by 1. */
function getTaskRate({dominantShare: part, demand}: FillingTeam): number {
	return demand.weight / part;
}

function getResourceRate(teams: readonly FillingTeam[], resource: string): number {
	return teams.reduce((sum, team) => sum + (getTaskRate(team) * (team.demand.perTask[resource] ?? 0)), 0);
}

/** The least growth that fills a resource or a team, in dominant share for a weight of 1. */
function getNextGrowth(options: {
	readonly teams: readonly FillingTeam[];
	readonly tasks: ReadonlyMap<number, number>;
	readonly rest: ResourceAmounts;
}): number {
	const {teams, tasks, rest} = options;
	const untilFull = Object.entries(rest).map(([resource, amount]) => {
		const rate = getResourceRate(teams, resource);
		return rate > 0 ? amount / rate : Number.POSITIVE_INFINITY;
	});
	const untilBound = teams.map(team => (team.bound - (tasks.get(team.index) ?? 0)) / getTaskRate(team));
	return Math.max(0, Math.min(...untilFull, ...untilBound));
}

const roundingTolerance = 1e-9;

function isStillFilling(team: FillingTeam, tasks: number, full: ReadonlySet<string>): boolean {
	const needsFull = Object.entries(team.demand.perTask).some(([name, amount]) => amount > 0 && full.has(name));
	return !needsFull && team.bound - tasks > roundingTolerance * Math.max(1, team.bound);
}

function subtractGrowth(options: {
	readonly teams: readonly FillingTeam[];
	readonly rest: ResourceAmounts;
	readonly growth: number;
}): ResourceAmounts {
	const {teams, rest, growth} = options;
	return Object.fromEntries(Object.entries(rest)
		.map(([name, amount]) => [name, amount - (growth * getResourceRate(teams, name))]));
}

function listFillingTeams(options: {
	readonly teams: readonly FillingTeam[];
	readonly tasks: ReadonlyMap<number, number>;
	readonly rest: ResourceAmounts;
	readonly capacity: ResourceAmounts;
}): readonly FillingTeam[] {
	const {teams, tasks, rest, capacity} = options;
	const full = new Set(Object.entries(rest)
		.filter(([name, amount]) => amount <= roundingTolerance * (capacity[name] ?? 0))
		.map(([name]) => name));
	return teams.filter(team => isStillFilling(team, tasks.get(team.index) ?? 0, full));
}

/**
 * Divides several resources so that the teams' dominant shares are weighted max-min fair: a team
 * of large tasks gains nothing over one of many small ones.
 *
 * @param options - The capacity of each resource, and each team's weight, tasks and task size.
 * @returns How many tasks, with fractions, each team is due, in the order of the demands.
 */
export function computeDominantShares(options: {
	readonly capacity: ResourceAmounts;
	readonly demands: readonly TaskDemand[];
}): readonly Share[] {
	const {capacity, demands} = options;
	const tasks = new Map<number, number>();
	let rest = capacity;
	let teams: readonly FillingTeam[] = demands
		.map((demand, index) => toFillingTeam(demand, index, capacity))
		.filter(({bound}) => bound > 0);
	while (teams.length > 0) {
		const growth = getNextGrowth({teams, tasks, rest});
		for (const team of teams) {
			tasks.set(team.index, (tasks.get(team.index) ?? 0) + (growth * getTaskRate(team)));
		}

		rest = subtractGrowth({teams, rest, growth});
		teams = listFillingTeams({
			teams, tasks, rest, capacity,
		});
	}

	return demands.map(({team}, index) => ({team, due: tasks.get(index) ?? 0}));
}
