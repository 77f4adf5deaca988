/**
 * Which waiting tasks start on which minions.
 */
import type {PoolId, RackId, TeamId} from '@samphiremill/common';
import {getStep, getStepProgress} from './ledger.js';
import {orderReadySteps, type CompareReadySteps, type ReadyStep} from './order-work.js';
import {
	addResources, createResources, fitsInto, getRoomTaken, subtractResources,
} from './resources.js';
import type {
	Ledger, LifeId, MinionRecord, MutableResources, Resources, RunAssignment, StepSpecification, Task,
} from './types.js';

/** A minion that may be given work now. */
export type UsableMinion = {
	readonly record: MinionRecord;
	/** How many runs it may have at once, beside the room they take. */
	readonly runBound: number;
	/** It will be emptied soon, so lasting tasks rather go elsewhere. */
	readonly isLeavingSoon: boolean;
	/** Suspected of being slow; it gets work only where nothing else has room. */
	readonly isSuspect: boolean;
};

/** What a plan of starts rests on. */
export type StartPlanInput = {
	readonly ledger: Ledger;
	/** The Unix time in milliseconds. */
	readonly nowMs: number;
	readonly minions: readonly UsableMinion[];
	/** Whether a step may run on a life; some queues ask an advice service. */
	readonly isAllowed: (step: ReadyStep, life: LifeId) => boolean;
	/** Whether a task is better not run on a life, where it failed before. */
	readonly isAvoided: (task: Task, life: LifeId) => boolean;
	/** Tasks that run already and get a copy, since their run is overdue. */
	readonly copies: readonly Task[];
	/** Which work goes first; by default what is nearest to missing its objective. */
	readonly compare?: CompareReadySteps;
};

type Place = {
	readonly minion: UsableMinion;
	readonly free: MutableResources;
	runsLeft: number;
};

type Plan = {
	readonly input: StartPlanInput;
	readonly freeByTeam: Map<TeamId, MutableResources>;
	readonly assignments: RunAssignment[];
};

const createPlace = (ledger: Ledger, minion: UsableMinion): Place => {
	const use = ledger.lives.get(minion.record.life);
	return {
		minion,
		free: {...subtractResources(minion.record.capacity, use?.used ?? createResources())},
		runsLeft: minion.runBound - (use?.runs.size ?? 0),
	};
};

const groupByPool = (ledger: Ledger, minions: readonly UsableMinion[]) => {
	const byPool = new Map<PoolId, Place[]>();
	for (const minion of minions) {
		const known = byPool.get(minion.record.pool) ?? [];
		byPool.set(minion.record.pool, known);
		known.push(createPlace(ledger, minion));
	}

	return byPool;
};

const toBound = (amount: number) => amount === 0 ? Number.POSITIVE_INFINITY : amount;

const getTeamRoom = ({input: {ledger}, freeByTeam}: Plan, team: TeamId): MutableResources => {
	const known = freeByTeam.get(team);
	if (known !== undefined) {
		return known;
	}

	const maximum: Resources = ledger.configuration?.teamsById.get(team)?.maximum ?? createResources();
	const bound = {
		cpuMillicores: toBound(maximum.cpuMillicores), memoryMb: toBound(maximum.memoryMb), gpus: toBound(maximum.gpus),
	};
	const free = {...subtractResources(bound, ledger.usedByTeam.get(team) ?? createResources())};
	freeByTeam.set(team, free);
	return free;
};

type StepPlaces = {
	readonly ready: ReadyStep;
	readonly step: StepSpecification;
	readonly room: Resources;
	readonly runsByLife: Map<LifeId, number>;
};

/** A task and where it may go. */
type Placement = {
	readonly place: Place;
	readonly task: Task;
};

const countRunsByLife = (tasks: readonly Task[]) => {
	const counts = new Map<LifeId, number>();
	for (const {life} of tasks.flatMap(({runs}) => runs)) {
		counts.set(life, (counts.get(life) ?? 0) + 1);
	}

	return counts;
};

const canHost = (plan: Plan, {ready, step, room, runsByLife}: StepPlaces, {place, task}: Placement) => {
	const {record} = place.minion;
	return place.runsLeft > 0
		&& fitsInto(place.free, room)
		&& (step.requiredLabel === undefined || record.labels.includes(step.requiredLabel))
		&& (runsByLife.get(record.life) ?? 0) < (step.maximumPerMinion ?? Number.POSITIVE_INFINITY)
		&& task.runs.every(({life}) => life !== record.life)
		&& plan.input.isAllowed(ready, record.life);
};

// Lower is better. Lasting tasks and fillers spread out; others fill the fullest minion that has room,
// so that wide tasks find whole minions.
const scorePlace = (plan: Plan, {step, runsByLife}: StepPlaces, {place, task, rack}: Placement & {readonly rack: RackId | undefined}) => {
	const {record, isSuspect, isLeavingSoon} = place.minion;
	const isFar = rack !== undefined && record.rack !== rack;
	const free = place.free.cpuMillicores;
	const spread = step.isLasting || step.isFiller
		? ((runsByLife.get(record.life) ?? 0) * 1e6) + (isLeavingSoon ? 1e8 : 0) - free
		: free;
	return (isSuspect || plan.input.isAvoided(task, record.life) ? 1e12 : 0) + (isFar ? 1e9 : 0) + spread;
};

const chooseBestPlace = (places: readonly Place[], score: (place: Place) => number) => {
	let best: Place | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const place of places) {
		const placeScore = score(place);
		if (placeScore < bestScore) {
			best = place;
			bestScore = placeScore;
		}
	}

	return best;
};

const getPreferredRack = ({step}: StepPlaces, places: readonly Place[]): RackId | undefined => {
	if (step.dataRack !== undefined || !step.isRackLocal) {
		return step.dataRack;
	}

	// The rack with the most room takes the whole step if any can.
	const freeByRack = new Map<RackId, number>();
	for (const {free, minion: {record: {rack}}} of places) {
		if (rack !== undefined) {
			freeByRack.set(rack, (freeByRack.get(rack) ?? 0) + free.cpuMillicores);
		}
	}

	return [...freeByRack].toSorted(([, left], [, right]) => right - left)[0]?.[0];
};

const takeRoom = (plan: Plan, {ready, step, room, runsByLife}: StepPlaces, {place, factor}: {readonly place: Place; readonly factor: 1 | -1}) => {
	const {life} = place.minion.record;
	addResources(place.free, room, -factor);
	place.runsLeft -= factor;
	runsByLife.set(life, (runsByLife.get(life) ?? 0) + factor);
	if (ready.job.team !== undefined) {
		addResources(getTeamRoom(plan, ready.job.team), step.request, -factor);
	}
};

const hasTeamRoom = (plan: Plan, {ready, step}: StepPlaces) =>
	ready.job.team === undefined || fitsInto(getTeamRoom(plan, ready.job.team), step.request);

const placeTasks = (plan: Plan, stepPlaces: StepPlaces, {places, tasks}: {readonly places: readonly Place[]; readonly tasks: readonly Task[]}): readonly Placement[] => {
	const placements: Placement[] = [];
	const rack = getPreferredRack(stepPlaces, places);
	for (const task of tasks) {
		const place = hasTeamRoom(plan, stepPlaces)
			? chooseBestPlace(places.filter(candidate => canHost(plan, stepPlaces, {place: candidate, task})), candidate => scorePlace(plan, stepPlaces, {place: candidate, task, rack}))
			: undefined;
		if (place === undefined) {
			break;
		}

		takeRoom(plan, stepPlaces, {place, factor: 1});
		placements.push({place, task});
	}

	return placements;
};

const planStep = (plan: Plan, ready: ReadyStep, places: readonly Place[]) => {
	const step = ready.job.specification.steps[ready.step];
	const progress = getStepProgress(ready);
	if (step === undefined || progress === undefined) {
		return;
	}

	const tasks = progress.tasks.filter(({isDone, runs}) => !isDone && runs.length === 0);
	const stepPlaces: StepPlaces = {
		ready, step, room: getRoomTaken(step), runsByLife: countRunsByLife(progress.tasks),
	};
	// A gang whose last run has not wholly ended waits for that.
	if (step.isGang && tasks.length < progress.tasks.length) {
		return;
	}

	const placements = placeTasks(plan, stepPlaces, {places, tasks});
	if (step.isGang && placements.length < tasks.length) {
		for (const {place} of placements) {
			takeRoom(plan, stepPlaces, {place, factor: -1});
		}

		return;
	}

	const gangRun = Math.max(...progress.tasks.map(({lastRunNumber}) => lastRunNumber)) + 1;
	for (const {place, task} of placements) {
		plan.assignments.push({task: task.id, run: step.isGang ? gangRun : task.lastRunNumber + 1, life: place.minion.record.life});
	}
};

const planCopy = (plan: Plan, task: Task, places: readonly Place[]) => {
	const step = getStep(task);
	const progress = getStepProgress(task);
	if (progress === undefined || task.isDone || task.runs.length !== 1) {
		return;
	}

	const ready: ReadyStep = {
		job: task.job, occurrence: task.occurrence, step: task.step, slackMs: 0, work: 0, hasStarted: true, isLasting: false, isLate: false,
	};
	const stepPlaces: StepPlaces = {
		ready, step, room: getRoomTaken(step), runsByLife: countRunsByLife(progress.tasks),
	};
	const sound = places.filter(({minion: {isSuspect}}) => !isSuspect);
	for (const {place} of placeTasks(plan, stepPlaces, {places: sound, tasks: [task]})) {
		plan.assignments.push({task: task.id, run: task.lastRunNumber + 1, life: place.minion.record.life});
	}
};

/**
 * Plans starts.
 *
 * @param input - The ledger, the time and the minions that may be given work.
 * @returns The assignments to agree on, in order.
 */
export function planStarts(input: StartPlanInput): readonly RunAssignment[] {
	const {ledger, nowMs, minions} = input;
	const plan: Plan = {input, freeByTeam: new Map(), assignments: []};
	const placesByPool = groupByPool(ledger, minions);
	const millicoresByPool = new Map([...placesByPool].map(([pool, places]) => [pool, places.reduce((sum, {minion}) => sum + minion.record.capacity.cpuMillicores, 0)] as const));
	for (const [pool, steps] of orderReadySteps(ledger, {nowMs, millicoresByPool, ...(input.compare !== undefined && {compare: input.compare})})) {
		const places = placesByPool.get(pool) ?? [];
		for (const ready of steps) {
			planStep(plan, ready, places);
		}
	}

	for (const task of input.copies) {
		planCopy(plan, task, placesByPool.get(task.job.pool) ?? []);
	}

	return plan.assignments;
}
