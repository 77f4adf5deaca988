/**
 * Weighted max-min fairness by water-filling, for one and for several resources.
 */
import type {
	ResourceAmounts, Share, ShareDemand, TaskDemand,
} from './types.js';

type CappedDemand = {
	readonly index: number;
	readonly weight: number;
	/** Maximum amount that the team can use. */
	readonly bound: number;
};

function toCappedDemand({weight, demand, limit}: ShareDemand, index: number): CappedDemand {
	return {index, weight, bound: Math.max(0, Math.min(demand, limit ?? Number.POSITIVE_INFINITY))};
}

/**
 * Divides a capacity by weighted max-min fairness: no team can get more unless a team that has less
 * per weight gets less. Capacity that a team does not ask for goes to the others.
 *
 * @param options - The capacity, and the weight, demand and limit of each team. Amounts are in one
 * unit.
 * @returns The fair shares in the order of the demands.
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
 * Returns the largest fraction of any resource that one task takes; 0 if it takes nothing, infinite if
 * it needs a resource with no capacity.
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
	const dominantShare = getDominantShare(demand.perTask, capacity);
	const canRun = Number.isFinite(dominantShare) && dominantShare > 0;
	const bound = canRun ? Math.min(demand.tasks, demand.limit ?? Number.POSITIVE_INFINITY) : 0;
	return {
		index, dominantShare, demand, bound,
	};
}

/** Returns how many tasks a team gains while the dominant share for a weight of 1 grows by 1. */
function getTaskRate({dominantShare, demand}: FillingTeam): number {
	return demand.weight / dominantShare;
}

function getResourceRate(teams: readonly FillingTeam[], resource: string): number {
	return teams.reduce((sum, team) => sum + (getTaskRate(team) * (team.demand.perTask[resource] ?? 0)), 0);
}

/**
 * Returns the smallest growth at which a resource is exhausted or a team reaches its bound, in
 * dominant share for a weight of 1.
 */
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
 * Divides several resources so that the dominant shares of the teams are weighted max-min fair
 * (dominant resource fairness). A team with large tasks gets no advantage over a team with many small
 * ones.
 *
 * @param options - The capacity of each resource, and the weight, number of tasks and task size of
 * each team.
 * @returns The fair number of tasks of each team, with fractions, in the order of the demands.
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
