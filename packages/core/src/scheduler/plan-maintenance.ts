/**
 * Plans which workers of a maintenance wave are drained, and for which the maintenance is ordered from the platform.
 * The plan keeps to the wave's limit and to the disruption budgets of long-running steps.
 *
 * Long-running tasks are stopped last, once the worker's other runs have ended, and only if they can start on another
 * minion. A worker with one that can't is left alone as long as the wave has time, since capacity may come free elsewhere
 * until then. When the wave's due time is near, such tasks are stopped once, all at the same moment and only if the
 * disruption budgets allow all of them, so that the maintenance follows at once and is all that they miss.
 */
import type {PoolId, WaveId, WorkerId} from '@samphiremill/common';
import {maximumMaintenanceMs, switchedOffMaintenanceMs, maintenanceRoundMs} from './constants.js';
import {findTask, getStep, getStepProgress} from './ledger.js';
import type {IsAllowed, UsableMinion} from './minion-capacity.js';
import {createRelocation, type Relocation, type RelocationClaim} from './relocate-tasks.js';
import type {
	Ledger, IncarnationId, IncarnationUsage, StepProgress, Task, MaintenanceOrder, MaintenanceWave,
} from './types.js';

/** The leader's view of a worker. */
export type WorkerView = {
	readonly worker: WorkerId;
	readonly life: IncarnationId;
	/** Whether the worker's minion answers and accepts work. */
	readonly isUp: boolean;
};

/**
 * Times of waves on the leader's monotonic clock. The ledger has them as times of day, which the leaders' clocks don't agree on
 * and which jump.
 */
export type MaintenanceTimes = {
	/** Returns the latest time at which a maintenance whose start is recorded in the ledger can have started. */
	readonly getBegunAtMs: (wave: WaveId, worker: WorkerId) => number;
	readonly getDueAtMs: (wave: MaintenanceWave) => number;
};

/** The input of a maintenance plan. */
export type MaintenancePlanInput = {
	readonly ledger: Ledger;
	/** The current monotonic time in milliseconds. */
	readonly nowMs: number;
	readonly times: MaintenanceTimes;
	readonly workers: ReadonlyMap<WorkerId, WorkerView>;
	/** Workers that are switched off and have no runs. */
	readonly switchedOff: ReadonlySet<WorkerId>;
	/** Whether tasks need so much of the worker's pool that it should keep its workers for now. */
	readonly isPoolLoaded: (worker: WorkerView) => boolean;
	/** Workers that the previous plan cordoned; they are preferred, so that their draining goes on. */
	readonly cordoned: ReadonlySet<WorkerId>;
	/** Workers that are not drained for now, since waiting tasks need them. */
	readonly released?: ReadonlySet<WorkerId>;
	/** Workers from which the last tasks were stopped a moment ago. They stay cordoned although these tasks can start nowhere else. */
	readonly draining?: ReadonlySet<WorkerId>;
	/** Whether the worker was seen up again after this maintenance. It may have been switched off, or have failed, since. */
	readonly hasReturned?: (order: MaintenanceOrder) => boolean;
	/** Whether a task of a long-running step is serving now. */
	readonly isServing: (task: Task) => boolean;
	/** Lists the minions of a pool that may be given work now. */
	readonly listMinions: (pool: PoolId) => readonly UsableMinion[];
	readonly isAllowed: IsAllowed;
	/** Whether the maintenance of a worker could be ordered now. */
	readonly canOrder: (worker: WorkerId) => boolean;
};

/** A maintenance to order from the platform, or to order again until the platform has confirmed its start. */
export type MaintenanceRequest = {
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly life: IncarnationId | undefined;
};

/** The actions of the leader for all waves. */
export type MaintenancePlan = {
	/** Workers that get no new tasks and are not moved to other pools. */
	readonly cordoned: ReadonlySet<WorkerId>;
	/** Tasks to stop, so that they continue on other workers. */
	readonly evictions: readonly Task[];
	/** Maintenance to order from the platform. */
	readonly requests: readonly MaintenanceRequest[];
	/** Workers that are not drained for now, since long-running tasks on them can start nowhere else. */
	readonly blocked: readonly BlockedWorker[];
};

/** A worker that is not drained for now, and the long-running tasks on it that no other minion takes. */
export type BlockedWorker = {
	readonly worker: WorkerId;
	readonly tasks: readonly Task[];
};

/** The input, and what is left of budgets and capacity while the plan uses them up. */
type PlanContext = {
	readonly input: MaintenancePlanInput;
	readonly budgets: Budgets;
	readonly relocation: Relocation;
	/** Workers that tasks of drained workers are to start on. */
	readonly needed: Set<WorkerId>;
};

/** A worker that may be drained. */
type Candidate = {
	readonly view: WorkerView;
	readonly isCordoned: boolean;
	readonly lasting: readonly Task[];
	readonly runCount: number;
};

const listTasks = (ledger: Ledger, usage: IncarnationUsage | undefined): readonly Task[] => [...usage?.runs.keys() ?? []]
	.map(id => findTask(ledger, id))
	.filter(task => task !== undefined);

const isActiveLongRunning = (task: Task) => task.job.status === 'active' && getStep(task).isLasting;

/** How many more tasks of each step may be made unavailable. */
type Budgets = Map<StepProgress, number>;

const getBudget = ({isServing}: MaintenancePlanInput, budgets: Budgets, task: Task): number => {
	const progress = getStepProgress(task);
	const allowed = getStep(task).disruptionBudget;
	if (progress === undefined || allowed === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	const known = budgets.get(progress);
	return known ?? allowed - progress.tasks.filter(other => !isServing(other)).length;
};

const consumeBudget = (input: MaintenancePlanInput, budgets: Budgets, task: Task) => {
	const progress = getStepProgress(task);
	if (progress !== undefined) {
		budgets.set(progress, getBudget(input, budgets, task) - 1);
	}
};

const groupByStep = (tasks: readonly Task[]): ReadonlyArray<readonly [Task, ...Task[]]> => {
	const groups = new Map<StepProgress | undefined, [Task, ...Task[]]>();
	for (const task of tasks) {
		const progress = getStepProgress(task);
		const group = groups.get(progress);
		if (group === undefined) {
			groups.set(progress, [task]);
		} else {
			group.push(task);
		}
	}

	return [...groups.values()];
};

const getAllowed = (task: Task) => getStep(task).disruptionBudget ?? Number.POSITIVE_INFINITY;

// Whether the budgets ever allow all of the tasks to be stopped at once.
const couldStopTogether = (tasks: readonly Task[]) => groupByStep(tasks).every(group => group.length <= getAllowed(group[0]));

const canStopTogether = ({input, budgets}: PlanContext, tasks: readonly Task[]) => groupByStep(tasks)
	.every(group => group.filter(task => input.isServing(task)).length <= getBudget(input, budgets, group[0]));

const reserveBudgets = ({input, budgets}: PlanContext, tasks: readonly Task[]) => {
	for (const task of tasks.filter(candidate => input.isServing(candidate))) {
		consumeBudget(input, budgets, task);
	}
};

// A task that is not known to serve may have begun to since the last listing. So it is stopped only while the budget is kept
// as well; it is already counted as unavailable.
const planEvictions = (context: PlanContext, tasks: readonly Task[]): readonly Task[] => {
	const evictions: Task[] = [];
	for (const task of tasks) {
		if (canStopTogether(context, [task])) {
			reserveBudgets(context, [task]);
			evictions.push(task);
		}
	}

	return evictions;
};

/** Whether a worker is up with another incarnation than the one that its maintenance ended. */
export function isBackFromMaintenance({life, begunAtMs}: MaintenanceOrder, view: WorkerView | undefined): boolean {
	return begunAtMs !== undefined && view !== undefined && view.isUp && view.life !== life;
}

/** A worker of a wave, and the order for its maintenance. */
type OrderedWorker = {
	readonly worker: WorkerId;
	readonly order: MaintenanceOrder;
};

const listOrdered = ({ordered}: MaintenanceWave): readonly OrderedWorker[] => [...ordered].map(([worker, order]) => ({worker, order}));

// A worker counts as down from the order of its maintenance until it is back with another incarnation or the time
// limit has passed. As long as the start is not confirmed, the maintenance may start at any moment, whichever
// incarnation runs on the worker.
const isDown = ({workers, nowMs, times, hasReturned}: MaintenancePlanInput, wave: WaveId, {worker, order}: OrderedWorker) => {
	if (order.begunAtMs === undefined) {
		return true;
	}

	const isBack = hasReturned?.(order) === true || isBackFromMaintenance(order, workers.get(worker));
	const limitMs = order.life === undefined ? switchedOffMaintenanceMs : maximumMaintenanceMs;
	return !isBack && nowMs - times.getBegunAtMs(wave, worker) < limitMs;
};

// The platform does not move a worker that is down for maintenance. A worker that was switched off looks during its
// maintenance like one that can be moved, so it is held back here.
const isUnmovable = (input: MaintenancePlanInput, wave: WaveId, {worker, order}: OrderedWorker) =>
	order.begunAtMs === undefined || (order.life === undefined && isDown(input, wave, {worker, order}));

const listUnmovable = (input: MaintenancePlanInput, wave: MaintenanceWave): readonly WorkerId[] => listOrdered(wave)
	.filter(ordered => isUnmovable(input, wave.wave, ordered))
	.map(({worker}) => worker);

const isDueWithin = ({nowMs, times}: MaintenancePlanInput, wave: MaintenanceWave, rounds: number) =>
	times.getDueAtMs(wave) - nowMs < (rounds + 1) * maintenanceRoundMs;

const countRounds = (wave: MaintenanceWave) => Math.ceil((wave.workers.length - wave.ordered.size) / Math.max(1, wave.maximumAtOnce));

// A loaded pool keeps its workers unless the wave could otherwise miss its due time.
const isDeadlineNear = (input: MaintenancePlanInput, wave: MaintenanceWave) => isDueWithin(input, wave, countRounds(wave));

const listSwitchedOff = ({switchedOff}: MaintenancePlanInput, wave: MaintenanceWave) => wave.workers
	.filter(worker => !wave.ordered.has(worker) && switchedOff.has(worker));

const listCandidates = (input: MaintenancePlanInput, wave: MaintenanceWave): readonly Candidate[] => {
	const {ledger, workers, cordoned} = input;
	const canWait = !isDeadlineNear(input, wave);
	return wave.workers
		.filter(worker => !wave.ordered.has(worker) && input.released?.has(worker) !== true)
		.flatMap(worker => {
			const view = workers.get(worker);
			const isCordoned = cordoned.has(worker);
			const isPostponed = view !== undefined && canWait && !isCordoned && input.isPoolLoaded(view);
			if (!view?.isUp || isPostponed) {
				return [];
			}

			const tasks = listTasks(ledger, ledger.incarnations.get(view.life));
			return [{
				view, isCordoned, lasting: tasks.filter(task => isActiveLongRunning(task)), runCount: tasks.length,
			}];
		})
		.toSorted((left, right) => Number(right.isCordoned) - Number(left.isCordoned) || left.runCount - right.runCount);
};

// How many rounds the budgets need for the tasks that miss the maintenance of their worker, since no other minion has room
// for them: the tasks of a step one after another, as far as its budget says.
const countBudgetRounds = ({relocation}: PlanContext, candidates: readonly Candidate[]) => {
	const tasks = candidates.flatMap(({view: {worker}, lasting}) => lasting.filter(task => !relocation.hasRoom(task, worker)));
	return Math.max(0, ...groupByStep(tasks).map(group => Math.ceil(group.length / Math.max(1, getAllowed(group[0])))));
};

/** The tasks of a worker to stop now; or those for which it can't be drained now. */
type DrainPlan
	= | {readonly type: 'draining'; readonly evictions: readonly Task[]}
		| {readonly type: 'blocked'; readonly tasks: readonly Task[]};

const claimCapacity = ({relocation}: PlanContext, {view: {worker}, lasting}: Candidate, isUrgent: boolean): ReadonlyMap<Task, RelocationClaim> => {
	const claims = new Map<Task, RelocationClaim>();
	for (const task of lasting) {
		const claim = relocation.claim({task, worker, mayWait: isUrgent});
		if (claim !== undefined) {
			claims.set(task, claim);
		}
	}

	return claims;
};

const planDrain = (context: PlanContext, candidate: Candidate, isUrgent: boolean): DrainPlan => {
	const {input, relocation, needed} = context;
	const {view: {worker}, isCordoned, lasting, runCount} = candidate;
	const claims = claimCapacity(context, candidate, isUrgent);
	const movable = [...claims.keys()];
	const stranded = lasting.filter(task => !claims.has(task));
	const isStoppable = isUrgent && canStopTogether(context, stranded);
	const mayStayCordoned = isCordoned && isUrgent && couldStopTogether(stranded);
	if (stranded.length > 0 && !isStoppable && !mayStayCordoned && input.draining?.has(worker) !== true) {
		for (const {release} of claims.values()) {
			release();
		}

		return {type: 'blocked', tasks: stranded};
	}

	relocation.exclude(worker);
	for (const claim of claims.values()) {
		needed.add(claim.worker);
	}

	if (isStoppable) {
		reserveBudgets(context, stranded);
	}

	const hasOtherRuns = runCount > lasting.length;
	// Only the next plan knows which workers get no more tasks, so that no task is stopped for capacity on one of them.
	if (!isCordoned || (hasOtherRuns && !isUrgent)) {
		return {type: 'draining', evictions: []};
	}

	if (movable.length > 0) {
		return {type: 'draining', evictions: planEvictions(context, movable)};
	}

	const isLastStop = isStoppable && !hasOtherRuns && input.canOrder(worker);
	return {type: 'draining', evictions: isLastStop ? stranded : []};
};

const planWave = (context: PlanContext, wave: MaintenanceWave): MaintenancePlan => {
	const {input, needed} = context;
	const cordoned = new Set<WorkerId>();
	const evictions: Task[] = [];
	const blocked: BlockedWorker[] = [];
	const unconfirmed = [...wave.ordered]
		.filter(([, {begunAtMs}]) => begunAtMs === undefined)
		.map(([worker, {life}]) => ({wave: wave.wave, worker, life}));
	const requests: MaintenanceRequest[] = [...unconfirmed];
	let slotsLeft = wave.maximumAtOnce - listOrdered(wave).filter(ordered => isDown(input, wave.wave, ordered)).length;
	for (const worker of listSwitchedOff(input, wave)) {
		if (slotsLeft > 0) {
			slotsLeft -= 1;
			cordoned.add(worker);
			requests.push({wave: wave.wave, worker, life: undefined});
		}
	}

	const candidates = listCandidates(input, wave);
	const isUrgent = isDueWithin(input, wave, Math.max(countRounds(wave), countBudgetRounds(context, candidates)));
	for (const candidate of candidates) {
		const {view: {worker, life}, isCordoned, runCount} = candidate;
		if (slotsLeft <= 0) {
			break;
		}

		if (!isCordoned && needed.has(worker)) {
			continue;
		}

		const drain = planDrain(context, candidate, isUrgent);
		if (drain.type === 'blocked') {
			blocked.push({worker, tasks: drain.tasks});
			continue;
		}

		slotsLeft -= 1;
		cordoned.add(worker);
		evictions.push(...drain.evictions);
		if (runCount === 0) {
			requests.push({wave: wave.wave, worker, life});
		}
	}

	return {
		cordoned, evictions, requests, blocked,
	};
};

/** Returns whether the maintenance of every worker of a wave has started. */
export function isWaveCompleted(wave: MaintenanceWave): boolean {
	return wave.workers.every(worker => wave.ordered.get(worker)?.begunAtMs !== undefined);
}

/** Plans the next actions for all waves. */
export function planMaintenance(input: MaintenancePlanInput): MaintenancePlan {
	const context: PlanContext = {
		input, budgets: new Map(), relocation: createRelocation(input), needed: new Set(),
	};
	const waves = [...input.ledger.waves.values()];
	const plans = waves
		.filter(wave => !isWaveCompleted(wave))
		.map(wave => planWave(context, wave));
	return {
		cordoned: new Set([
			...waves.flatMap(wave => listUnmovable(input, wave)),
			...plans.flatMap(({cordoned}) => [...cordoned]),
		]),
		evictions: plans.flatMap(({evictions}) => evictions),
		requests: plans.flatMap(({requests}) => requests),
		blocked: plans.flatMap(({blocked}) => blocked),
	};
}
