/**
 * Assigns waiting tasks to minions.
 */
import type {PoolId, RackId, TeamId} from '@samphiremill/common';
import {holdCycleMs, holdMs, overdueWaitMs} from './constants.js';
import {isAwaitingProof, isCrashSuspect, isStartedAlone} from './crash-suspicion.js';
import {findMinionToHold} from './hold-capacity.js';
import {getStep, getStepProgress} from './ledger.js';
import {orderReadySteps, type CompareReadySteps, type ReadyStep} from './order-work.js';
import {
	createMinionCapacity, createStepContext, createTaskContext, findPlacementGate, hasCapacity, hasRecentFailures, reserveCapacity,
	type GetAwaitedMinion, type GetWaitMs, type IsAllowed, type MinionCapacity, type StepContext, type UsableMinion,
} from './minion-capacity.js';
import {
	addResources, createResources, fitsInto, getReservedResources,
} from './resources.js';
import {getFreeTeamResources} from './run-limits.js';
import type {
	Ledger, IncarnationId, MutableResources, Resources, RunAssignment, StepProgress, StepSpecification, Task,
} from './types.js';

/** The input of a plan of starts. */
export type StartPlanInput = {
	readonly ledger: Ledger;
	/** The current Unix time in milliseconds. */
	readonly nowMs: number;
	/** The current time on the clock of the leader's losses; `nowMs` by default. */
	readonly lossNowMs?: number;
	/** The minions to plan for. Starts are planned for the pools of these minions only. */
	readonly minions: readonly UsableMinion[];
	readonly isAllowed: IsAllowed;
	readonly getWaitMs: GetWaitMs;
	/** Absent if no start is under way. */
	readonly getAwaitedMinion?: GetAwaitedMinion | undefined;
	/** Incarnations on which the task failed before. They are used only if no other minion has capacity. */
	readonly getAvoidedIncarnations: (task: Task) => ReadonlySet<IncarnationId> | undefined;
	/** Running tasks that get a second copy, since their run is overdue. */
	readonly copies: readonly Task[];
	/** Pools in which a task that may crash its minion has just started, on a minion that answers or not. */
	readonly poolsWithNewSuspects?: ReadonlySet<PoolId>;
	/** The order of the steps; `compareReadySteps` by default. */
	readonly compare?: CompareReadySteps;
};

type Plan = {
	readonly input: StartPlanInput;
	readonly freeByTeam: Map<TeamId, MutableResources>;
	/** Shared by the starts and the copies of a step, so that each counts those planned before it. */
	readonly stepContexts: Map<StepProgress, StepContext>;
	readonly assignments: RunAssignment[];
};

/** The free capacity of a pool while the plan fills it. */
type PoolCapacity = {
	readonly capacities: readonly MinionCapacity[];
	/** Amounts that no minion of the pool has free. A task that needs as much of each resource need not be tried. */
	exhausted: readonly Resources[];
	/** The same for long-running tasks, which are not bound by the limits on runs. */
	exhaustedForLongRunning: readonly Resources[];
	/** Whether a minion's capacity is kept for an overdue long-running task. One at a time is, so that the others stay in use. */
	isHolding: boolean;
	/** Whether a suspect has just started. */
	hasNewSuspect: boolean;
};

const createPoolCapacity = (capacities: readonly MinionCapacity[], hasNewSuspect = false): PoolCapacity => ({
	capacities, exhausted: [], exhaustedForLongRunning: [], isHolding: false, hasNewSuspect,
});

const groupByPool = ({ledger, minions}: StartPlanInput) => {
	const byPool = new Map<PoolId, MinionCapacity[]>();
	for (const minion of minions) {
		const {pool} = minion.record;
		const known = byPool.get(pool) ?? [];
		byPool.set(pool, known);
		known.push(createMinionCapacity(ledger, minion));
	}

	return byPool;
};

const getFreeTeamCapacity = ({input: {ledger}, freeByTeam}: Plan, team: TeamId): MutableResources => {
	const known = freeByTeam.get(team);
	if (known !== undefined) {
		return known;
	}

	const free = getFreeTeamResources(ledger, team);
	freeByTeam.set(team, free);
	return free;
};

/** A task, and a minion that it may run on. */
type Placement = {
	readonly capacity: MinionCapacity;
	readonly task: Task;
};

const canHost = ({input: {isAllowed, getWaitMs, getAwaitedMinion}}: Plan, stepContext: StepContext, {capacity, task}: Placement) => findPlacementGate(stepContext, capacity, {
	task, isAllowed, getWaitMs, getAwaitedMinion,
}) === undefined;

type Preference = {
	readonly isSuspectTask: boolean;
	readonly rack: RackId | undefined;
	readonly avoided: ReadonlySet<IncarnationId> | undefined;
};

// Each outweighs all that follow it, and the free processors of a minion in millicores.
const penalties = {
	avoided: 1e12, recentFailures: 1e11, otherRack: 1e9, drainingSoon: 1e8, runOfStep: 1e6,
};

// Lower is better. Long-running tasks and fillers are spread over the minions. Other tasks go to the fullest minion that
// has capacity (best fit), so that large tasks still find empty minions.
const getFillScore = ({step, runsByIncarnation}: StepContext, {minion: {record, isDrainingSoon}, free}: MinionCapacity, {isSuspectTask}: Preference) => {
	if (step.isLasting || step.isFiller) {
		return ((runsByIncarnation.get(record.life) ?? 0) * penalties.runOfStep) + (isDrainingSoon ? penalties.drainingSoon : 0) - free.cpuMillicores;
	}

	// If a suspect crashes its minion, as few other tasks as possible are lost.
	return isSuspectTask ? -free.cpuMillicores : free.cpuMillicores;
};

const scoreMinion = (stepContext: StepContext, capacity: MinionCapacity, preference: Preference) => {
	const {step} = stepContext;
	const {rack, avoided} = preference;
	const {minion: {record, isSuspect}} = capacity;
	const isOtherRack = rack !== undefined && record.rack !== rack;
	// A minion on which this task failed, or that refused it, comes after one on which other tasks failed.
	return (isSuspect || avoided?.has(record.life) ? penalties.avoided : 0)
		+ (step.isLasting && hasRecentFailures(capacity) ? penalties.recentFailures : 0)
		+ (isOtherRack ? penalties.otherRack : 0)
		+ getFillScore(stepContext, capacity, preference);
};

type MinionChoice = {
	readonly capacity: MinionCapacity | undefined;
	/** Whether any minion has the capacity, allowed or not. */
	readonly hasAnyCapacity: boolean;
};

const chooseBestMinion = (plan: Plan, stepContext: StepContext, {capacities, task, rack}: {
	readonly capacities: readonly MinionCapacity[];
	readonly task: Task;
	readonly rack: RackId | undefined;
}): MinionChoice => {
	const preference = {rack, avoided: plan.input.getAvoidedIncarnations(task), isSuspectTask: isCrashSuspect(task)};
	let best: MinionCapacity | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	let hasAnyCapacity = false;
	for (const capacity of capacities) {
		if (!hasCapacity(capacity, stepContext)) {
			continue;
		}

		hasAnyCapacity = true;
		const score = scoreMinion(stepContext, capacity, preference);
		if (score < bestScore && canHost(plan, stepContext, {capacity, task})) {
			best = capacity;
			bestScore = score;
		}
	}

	return {capacity: best, hasAnyCapacity};
};

const getPreferredRack = ({step}: StepContext, capacities: readonly MinionCapacity[]): RackId | undefined => {
	if (step.dataRack !== undefined || !step.isRackLocal) {
		return step.dataRack;
	}

	// The rack with the most free capacity is the most likely to take the whole step.
	const freeByRack = new Map<RackId, number>();
	for (const {free, minion: {record: {rack}}} of capacities) {
		if (rack !== undefined) {
			freeByRack.set(rack, (freeByRack.get(rack) ?? 0) + free.cpuMillicores);
		}
	}

	return [...freeByRack].toSorted(([, left], [, right]) => right - left)[0]?.[0];
};

const reserve = (plan: Plan, stepContext: StepContext, reservation: {readonly capacity: MinionCapacity; readonly factor: 1 | -1}) => {
	const {ready: {job: {team}}, step} = stepContext;
	reserveCapacity(stepContext, reservation);
	if (team !== undefined) {
		addResources(getFreeTeamCapacity(plan, team), step.request, -reservation.factor);
	}
};

const hasTeamCapacity = (plan: Plan, {ready, step}: StepContext) =>
	ready.job.team === undefined || fitsInto(getFreeTeamCapacity(plan, ready.job.team), step.request);

const isHoldDue = (waitMs: number) => waitMs >= overdueWaitMs && (waitMs - overdueWaitMs) % holdCycleMs < holdMs;

// Reserves capacity for an overdue long-running task, so that tasks which are placed after it in this plan don't use it.
const holdCapacity = ({input: {ledger, isAllowed, getWaitMs, getAwaitedMinion}}: Plan, stepContext: StepContext, {pool, task}: {readonly pool: PoolCapacity; readonly task: Task}) => {
	if (pool.isHolding || !stepContext.step.isLasting || !isHoldDue(getWaitMs(task))) {
		return;
	}

	const capacity = findMinionToHold(stepContext, pool.capacities, {
		ledger, task, isAllowed, getWaitMs, getAwaitedMinion,
	});
	if (capacity !== undefined) {
		reserveCapacity(stepContext, {capacity, factor: 1});
		pool.isHolding = true;
	}
};

const addExhausted = (exhausted: readonly Resources[], required: Resources) => [...exhausted.filter(known => !fitsInto(known, required)), required];

const recordExhausted = (pool: PoolCapacity, {step, required}: StepContext) => {
	if (step.isLasting) {
		pool.exhaustedForLongRunning = addExhausted(pool.exhaustedForLongRunning, required);
	} else {
		pool.exhausted = addExhausted(pool.exhausted, required);
	}
};

const placeTasks = (plan: Plan, stepContext: StepContext, {pool, tasks}: {readonly pool: PoolCapacity; readonly tasks: readonly Task[]}): readonly Placement[] => {
	const placements: Placement[] = [];
	const {capacities} = pool;
	const rack = getPreferredRack(stepContext, capacities);
	for (const task of tasks) {
		if (!hasTeamCapacity(plan, stepContext) || (pool.hasNewSuspect && isStartedAlone(task))) {
			break;
		}

		const {capacity, hasAnyCapacity} = chooseBestMinion(plan, stepContext, {capacities, task, rack});
		if (!hasAnyCapacity) {
			recordExhausted(pool, stepContext);
		}

		if (capacity === undefined) {
			holdCapacity(plan, stepContext, {pool, task});
			break;
		}

		reserve(plan, stepContext, {capacity, factor: 1});
		placements.push({capacity, task});
		capacity.plannedJob = task.job.id;
		if (isCrashSuspect(task)) {
			capacity.crashSuspect = {job: task.job.id, isNew: true};
			pool.hasNewSuspect = true;
		}
	}

	return placements;
};

const isKnownNotToFit = ({exhausted, exhaustedForLongRunning}: PoolCapacity, step: StepSpecification) => (step.isLasting ? exhaustedForLongRunning : exhausted)
	.some(known => fitsInto(getReservedResources(step), known));

// Of the tasks of a long-running step, those that have waited longest go first. In the order of their numbers, the tasks
// with the highest numbers would never start in a pool with fewer minions than the step needs: whenever another task of the
// step fails, its minion would go to that task again.
const listWaitingTasks = ({specification, progress}: ReadyStep, {getWaitMs, getAwaitedMinion, nowMs, lossNowMs = nowMs}: StartPlanInput, {capacities}: PoolCapacity) => {
	// The step's other tasks don't wait with one whose minion is not there.
	const isHeldBack = (task: Task) => {
		const awaited = getAwaitedMinion?.(task);
		return awaited !== undefined && !capacities.some(({minion: {record}}) => record.minion === awaited);
	};

	const tasks = progress.tasks.filter(task => !task.isDone && task.runs.length === 0 && !isAwaitingProof(task, lossNowMs) && !isHeldBack(task));
	const ordered = specification.isLasting ? tasks.toSorted((left, right) => getWaitMs(right) - getWaitMs(left)) : tasks;
	// A suspect may have to wait for a minion without another one, and a task whose start is under way for its minion; the step's other tasks don't wait with them.
	const mayHaveToWait = (task: Task) => isCrashSuspect(task) || getAwaitedMinion?.(task) !== undefined;
	return ordered.some(task => mayHaveToWait(task)) ? ordered.toSorted((left, right) => Number(mayHaveToWait(left)) - Number(mayHaveToWait(right))) : ordered;
};

const getStepContext = ({stepContexts}: Plan, progress: StepProgress, create: () => StepContext): StepContext => {
	const known = stepContexts.get(progress);
	if (known !== undefined) {
		return known;
	}

	const created = create();
	stepContexts.set(progress, created);
	return created;
};

const planStep = (plan: Plan, ready: ReadyStep, pool: PoolCapacity) => {
	const {specification: step, progress} = ready;
	const mayHold = !pool.isHolding && isHoldDue(ready.waitMs);
	if (!mayHold && isKnownNotToFit(pool, step)) {
		return;
	}

	const tasks = listWaitingTasks(ready, plan.input, pool);
	// A gang is started again only after all runs of its previous start have ended.
	if (step.isGang && tasks.length < progress.tasks.length) {
		return;
	}

	const stepContext = getStepContext(plan, progress, () => createStepContext(ready));
	const placements = placeTasks(plan, stepContext, {pool, tasks});
	if (step.isGang && placements.length < tasks.length) {
		for (const {capacity} of placements) {
			reserve(plan, stepContext, {capacity, factor: -1});
			capacity.crashSuspect = capacity.minion.crashSuspect;
		}

		pool.exhausted = [];
		pool.exhaustedForLongRunning = [];
		return;
	}

	const gangRun = step.isGang ? Math.max(...progress.tasks.map(({lastRunNumber}) => lastRunNumber)) + 1 : undefined;
	for (const {capacity, task} of placements) {
		plan.assignments.push({task: task.id, run: gangRun ?? task.lastRunNumber + 1, life: capacity.minion.record.life});
	}
};

const planCopy = (plan: Plan, task: Task, capacities: readonly MinionCapacity[]) => {
	const progress = getStepProgress(task);
	// Two copies of a task that crashes its minions would crash two at once. A copy of one member of a gang would wait for the others in vain.
	if (progress === undefined || task.isDone || task.runs.length !== 1 || isCrashSuspect(task) || getStep(task).isGang) {
		return;
	}

	const stepContext = getStepContext(plan, progress, () => createTaskContext(task, progress));
	const unsuspected = capacities.filter(({minion: {isSuspect}}) => !isSuspect);
	for (const {capacity} of placeTasks(plan, stepContext, {pool: createPoolCapacity(unsuspected), tasks: [task]})) {
		plan.assignments.push({task: task.id, run: task.lastRunNumber + 1, life: capacity.minion.record.life});
	}
};

const sumMillicores = (capacities: readonly MinionCapacity[]) => {
	let sum = 0;
	for (const {minion} of capacities) {
		sum += minion.record.capacity.cpuMillicores;
	}

	return sum;
};

const getLargestFreeCapacity = (capacities: readonly MinionCapacity[]): Resources => {
	const largest = createResources();
	for (const {free} of capacities) {
		largest.cpuMillicores = Math.max(largest.cpuMillicores, free.cpuMillicores);
		largest.memoryMb = Math.max(largest.memoryMb, free.memoryMb);
		largest.gpus = Math.max(largest.gpus, free.gpus);
	}

	return largest;
};

const createFitCheck = (capacities: readonly MinionCapacity[]) => {
	const largest = getLargestFreeCapacity(capacities.filter(({runsLeft}) => runsLeft > 0));
	// Capacity may have to be kept for a long-running task that fits on no minion yet.
	return (step: StepSpecification) => step.isLasting || fitsInto(largest, getReservedResources(step));
};

/** Plans starts. Returns the assignments to commit, in order. */
export function planStarts(input: StartPlanInput): readonly RunAssignment[] {
	const {ledger, nowMs, getWaitMs, compare} = input;
	const plan: Plan = {
		input, freeByTeam: new Map(), stepContexts: new Map(), assignments: [],
	};
	const capacitiesByPool = groupByPool(input);
	for (const [pool, capacities] of capacitiesByPool) {
		const poolCapacity = createPoolCapacity(capacities, input.poolsWithNewSuspects?.has(pool));
		const steps = orderReadySteps(ledger, {
			pool, poolMillicores: sumMillicores(capacities), nowMs, mayFit: createFitCheck(capacities), getWaitMs, ...(compare !== undefined && {compare}),
		});
		for (const ready of steps) {
			planStep(plan, ready, poolCapacity);
		}
	}

	for (const task of input.copies) {
		planCopy(plan, task, capacitiesByPool.get(task.job.pool) ?? []);
	}

	return plan.assignments;
}
