/**
 * Which waiting tasks start on which minions.
 */
import type {PoolId, RackId, TeamId} from '@samphiremill/common';
import {getStep, getStepProgress} from './ledger.js';
import {orderReadySteps, type CompareReadySteps, type ReadyStep} from './order-work.js';
import {
	addResources, createResources, fitsInto, getReservedResources, subtractResources,
} from './resources.js';
import type {
	Ledger, IncarnationId, MinionRecord, MutableResources, Resources, RunAssignment, StepSpecification, Task,
} from './types.js';

/** A minion that may be given work now. */
export type UsableMinion = {
	readonly record: MinionRecord;
	/** How many runs it may have at once, beside the room they take. */
	readonly runLimit: number;
	/** It will be emptied soon, so lasting tasks rather go elsewhere. */
	readonly isDrainingSoon: boolean;
	/** Suspected of being slow; it gets work only where nothing else has room. */
	readonly isSuspect: boolean;
};

/** What a plan of starts rests on. */
export type StartPlanInput = {
	readonly ledger: Ledger;
	/** The Unix time in milliseconds. */
	readonly nowMs: number;
	/** Starts are planned for the pools of these minions. */
	readonly minions: readonly UsableMinion[];
	/** Whether a step may run on a life; some queues ask an advice service. */
	readonly isAllowed: (step: ReadyStep, life: IncarnationId) => boolean;
	/** Lives on which a task is better not run, where it failed before. */
	readonly getAvoidedIncarnations: (task: Task) => ReadonlySet<IncarnationId> | undefined;
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

/** A pool as the plan fills it. */
type PoolPlaces = {
	readonly places: readonly Place[];
	/** Rooms that no place of the pool has left; whatever takes as much of each resource needs no look. */
	refused: readonly Resources[];
};

const createPlace = (ledger: Ledger, minion: UsableMinion): Place => {
	const use = ledger.incarnations.get(minion.record.life);
	return {
		minion,
		free: {...subtractResources(minion.record.capacity, use?.used ?? createResources())},
		runsLeft: minion.runLimit - (use?.runs.size ?? 0),
	};
};

const groupByPool = ({ledger, minions}: StartPlanInput) => {
	const byPool = new Map<PoolId, Place[]>();
	for (const minion of minions) {
		const {pool} = minion.record;
		const known = byPool.get(pool) ?? [];
		byPool.set(pool, known);
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
	/** How many of the step's tasks run on each life, where that matters. */
	readonly runsByLife: Map<IncarnationId, number>;
};

/** A task and where it may go. */
type Placement = {
	readonly place: Place;
	readonly task: Task;
};

const isSpread = ({isLasting, isFiller, maximumPerMinion}: StepSpecification) => isLasting || isFiller || maximumPerMinion !== undefined;

const countRunsByLife = (step: StepSpecification, tasks: readonly Task[]) => {
	const counts = new Map<IncarnationId, number>();
	if (!isSpread(step)) {
		return counts;
	}

	for (const {runs} of tasks) {
		for (const {life} of runs) {
			counts.set(life, (counts.get(life) ?? 0) + 1);
		}
	}

	return counts;
};

const hasRoom = ({runsLeft, free}: Place, room: Resources) => runsLeft > 0 && fitsInto(free, room);

const canHost = (plan: Plan, {ready, step, runsByLife}: StepPlaces, {place, task}: Placement) => {
	const {record} = place.minion;
	return (step.requiredLabel === undefined || record.labels.includes(step.requiredLabel))
		&& (runsByLife.get(record.life) ?? 0) < (step.maximumPerMinion ?? Number.POSITIVE_INFINITY)
		&& task.runs.every(({life}) => life !== record.life)
		&& plan.input.isAllowed(ready, record.life);
};

type Preference = {
	readonly rack: RackId | undefined;
	readonly avoided: ReadonlySet<IncarnationId> | undefined;
};

// Lower is better. Lasting tasks and fillers spread out; others fill the fullest minion that has room,
// so that wide tasks find whole minions.
const scorePlace = ({step, runsByLife}: StepPlaces, {minion, free}: Place, {rack, avoided}: Preference) => {
	const {record, isSuspect, isDrainingSoon: isLeavingSoon} = minion;
	const isFar = rack !== undefined && record.rack !== rack;
	const spread = step.isLasting || step.isFiller
		? ((runsByLife.get(record.life) ?? 0) * 1e6) + (isLeavingSoon ? 1e8 : 0) - free.cpuMillicores
		: free.cpuMillicores;
	return (isSuspect || avoided?.has(record.life) ? 1e12 : 0) + (isFar ? 1e9 : 0) + spread;
};

type ChosenPlace = {
	readonly place: Place | undefined;
	/** Whether any place has the room, allowed or not. */
	readonly isRoomLeft: boolean;
};

const choosePlace = (plan: Plan, stepPlaces: StepPlaces, {places, task, rack}: {readonly places: readonly Place[]; readonly task: Task; readonly rack: RackId | undefined}): ChosenPlace => {
	const preference = {rack, avoided: plan.input.getAvoidedIncarnations(task)};
	let best: Place | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	let isRoomLeft = false;
	for (const place of places) {
		if (!hasRoom(place, stepPlaces.room)) {
			continue;
		}

		isRoomLeft = true;
		const score = scorePlace(stepPlaces, place, preference);
		if (score < bestScore && canHost(plan, stepPlaces, {place, task})) {
			best = place;
			bestScore = score;
		}
	}

	return {place: best, isRoomLeft};
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
	if (isSpread(step)) {
		runsByLife.set(life, (runsByLife.get(life) ?? 0) + factor);
	}

	if (ready.job.team !== undefined) {
		addResources(getTeamRoom(plan, ready.job.team), step.request, -factor);
	}
};

const hasTeamRoom = (plan: Plan, {ready, step}: StepPlaces) =>
	ready.job.team === undefined || fitsInto(getTeamRoom(plan, ready.job.team), step.request);

const placeTasks = (plan: Plan, stepPlaces: StepPlaces, {pool, tasks}: {readonly pool: PoolPlaces; readonly tasks: readonly Task[]}): readonly Placement[] => {
	const placements: Placement[] = [];
	const {places} = pool;
	const rack = getPreferredRack(stepPlaces, places);
	for (const task of tasks) {
		if (!hasTeamRoom(plan, stepPlaces)) {
			break;
		}

		const {place, isRoomLeft} = choosePlace(plan, stepPlaces, {places, task, rack});
		if (!isRoomLeft) {
			pool.refused = [...pool.refused.filter(known => !fitsInto(known, stepPlaces.room)), stepPlaces.room];
		}

		if (place === undefined) {
			break;
		}

		takeRoom(plan, stepPlaces, {place, factor: 1});
		placements.push({place, task});
	}

	return placements;
};

const isKnownNotToFit = ({refused}: PoolPlaces, room: Resources) => refused.some(known => fitsInto(room, known));

const planStep = (plan: Plan, ready: ReadyStep, pool: PoolPlaces) => {
	const {specification: step, progress} = ready;
	const room = getReservedResources(step);
	if (isKnownNotToFit(pool, room)) {
		return;
	}

	const tasks = progress.tasks.filter(({isDone, runs}) => !isDone && runs.length === 0);
	// A gang whose last run has not wholly ended waits for that.
	if (step.isGang && tasks.length < progress.tasks.length) {
		return;
	}

	const stepPlaces: StepPlaces = {
		ready, step, room, runsByLife: countRunsByLife(step, progress.tasks),
	};
	const placements = placeTasks(plan, stepPlaces, {pool, tasks});
	if (step.isGang && placements.length < tasks.length) {
		for (const {place} of placements) {
			takeRoom(plan, stepPlaces, {place, factor: -1});
		}

		pool.refused = [];
		return;
	}

	const gangRun = step.isGang ? Math.max(...progress.tasks.map(({lastRunNumber}) => lastRunNumber)) + 1 : undefined;
	for (const {place, task} of placements) {
		plan.assignments.push({task: task.id, run: gangRun ?? task.lastRunNumber + 1, life: place.minion.record.life});
	}
};

const planCopy = (plan: Plan, task: Task, places: readonly Place[]) => {
	const step = getStep(task);
	const progress = getStepProgress(task);
	if (progress === undefined || task.isDone || task.runs.length !== 1) {
		return;
	}

	const ready: ReadyStep = {
		job: task.job, occurrence: task.occurrence, step: task.step, specification: step, progress, slackMs: 0, work: 0, hasStarted: true, isLasting: false, isLate: false,
	};
	const stepPlaces: StepPlaces = {
		ready, step, room: getReservedResources(step), runsByLife: countRunsByLife(step, progress.tasks),
	};
	const sound = places.filter(({minion: {isSuspect}}) => !isSuspect);
	for (const {place} of placeTasks(plan, stepPlaces, {pool: {places: sound, refused: []}, tasks: [task]})) {
		plan.assignments.push({task: task.id, run: task.lastRunNumber + 1, life: place.minion.record.life});
	}
};

const sumMillicores = (places: readonly Place[]) => {
	let sum = 0;
	for (const {minion} of places) {
		sum += minion.record.capacity.cpuMillicores;
	}

	return sum;
};

const getLargestRoom = (places: readonly Place[]): Resources => {
	const largest = createResources();
	for (const {free, runsLeft} of places) {
		if (runsLeft > 0) {
			largest.cpuMillicores = Math.max(largest.cpuMillicores, free.cpuMillicores);
			largest.memoryMb = Math.max(largest.memoryMb, free.memoryMb);
			largest.gpus = Math.max(largest.gpus, free.gpus);
		}
	}

	return largest;
};

/**
 * Plans starts.
 *
 * @param input - The ledger, the time and the minions that may be given work.
 * @returns The assignments to agree on, in order.
 */
export function planStarts(input: StartPlanInput): readonly RunAssignment[] {
	const {ledger, nowMs, compare} = input;
	const plan: Plan = {input, freeByTeam: new Map(), assignments: []};
	const placesByPool = groupByPool(input);
	for (const [pool, places] of placesByPool) {
		const poolPlaces: PoolPlaces = {places, refused: []};
		const steps = orderReadySteps(ledger, {
			pool, poolMillicores: sumMillicores(places), nowMs, largestFreeCapacity: getLargestRoom(places), ...(compare !== undefined && {compare}),
		});
		for (const ready of steps) {
			planStep(plan, ready, poolPlaces);
		}
	}

	for (const task of input.copies) {
		planCopy(plan, task, placesByPool.get(task.job.pool) ?? []);
	}

	return plan.assignments;
}
