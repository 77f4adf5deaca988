/**
 * Which workers of a maintenance wave are emptied, and which are handed to the platform, within the
 * wave's bound and the disruption budgets of lasting steps.
 */
import type {WaveId, WorkerId} from '@samphiremill/common';
import {maximumMaintenanceMs, switchedOffMaintenanceMs, maintenanceRoundMs} from './constants.js';
import {findTask, getStep, getStepProgress} from './ledger.js';
import type {
	Ledger, IncarnationId, IncarnationUsage, StepProgress, Task, MaintenanceOrder, MaintenanceWave,
} from './types.js';

/** A worker as the leader sees it. */
export type WorkerView = {
	readonly worker: WorkerId;
	readonly life: IncarnationId;
	/** Whether its minion answers and accepts work. */
	readonly isUp: boolean;
};

/** What a plan of upkeep rests on. */
export type MaintenancePlanInput = {
	readonly ledger: Ledger;
	/** The Unix time in milliseconds. */
	readonly nowMs: number;
	readonly workers: ReadonlyMap<WorkerId, WorkerView>;
	/** Workers that are switched off, and run nothing. */
	readonly switchedOff: ReadonlySet<WorkerId>;
	/** Whether tasks wait for room in the worker's pool. */
	readonly isPoolBusy: (worker: WorkerView) => boolean;
	/** Workers that were being emptied; they stay chosen. */
	readonly cordoned: ReadonlySet<WorkerId>;
	/** Whether a task of a lasting step serves at this moment. */
	readonly isServing: (task: Task) => boolean;
};

/** An upkeep to order, or to order again until the platform is known to have begun it. */
export type MaintenanceRequest = {
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly life: IncarnationId | undefined;
};

/** What the leader does for waves now. */
export type MaintenancePlan = {
	/** Workers that get no new work and are not moved. */
	readonly cordoned: ReadonlySet<WorkerId>;
	/** Tasks to stop, so that they go on elsewhere. */
	readonly evictions: readonly Task[];
	/** Workers to hand to the platform. */
	readonly requests: readonly MaintenanceRequest[];
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

const planEvictions = (input: MaintenancePlanInput, budgets: Budgets, tasks: readonly Task[]): readonly Task[] => {
	const evictions: Task[] = [];
	for (const task of tasks.filter(candidate => isActiveLongRunning(candidate))) {
		if (!input.isServing(task) || getBudget(input, budgets, task) > 0) {
			consumeBudget(input, budgets, task);
			evictions.push(task);
		}
	}

	return evictions;
};

// An upkeep that was ordered counts until the worker is back in another life; one that is not known to
// have begun may begin at any moment, whatever life the worker has.
const isDown = ({workers, nowMs}: MaintenancePlanInput, worker: WorkerId, order: MaintenanceOrder) => {
	if (order.begunAtMs === undefined) {
		return true;
	}

	const view = workers.get(worker);
	const isBack = view !== undefined && view.isUp && view.life !== order.life;
	const boundMs = order.life === undefined ? switchedOffMaintenanceMs : maximumMaintenanceMs;
	return !isBack && nowMs - order.begunAtMs < boundMs;
};

// The platform moves no worker that is down for its upkeep. A worker that was switched off then still looks
// like one that may be moved.
const isUnmovable = (input: MaintenancePlanInput, worker: WorkerId, order: MaintenanceOrder) =>
	order.begunAtMs === undefined || (order.life === undefined && isDown(input, worker, order));

const listUnmovable = (input: MaintenancePlanInput, wave: MaintenanceWave): readonly WorkerId[] => [...wave.ordered]
	.filter(([worker, order]) => isUnmovable(input, worker, order))
	.map(([worker]) => worker);

// A pool in which tasks wait keeps its workers, as long as the wave can still be done in time.
const isDeadlineNear = ({nowMs}: MaintenancePlanInput, wave: MaintenanceWave) => {
	const rounds = Math.ceil((wave.workers.length - wave.ordered.size) / Math.max(1, wave.maximumAtOnce));
	return wave.dueAtMs - nowMs < (rounds + 1) * maintenanceRoundMs;
};

const listSwitchedOff = ({switchedOff}: MaintenancePlanInput, wave: MaintenanceWave) => wave.workers
	.filter(worker => !wave.ordered.has(worker) && switchedOff.has(worker));

const listCandidates = (input: MaintenancePlanInput, wave: MaintenanceWave) => {
	const {ledger, workers, cordoned} = input;
	const canWait = !isDeadlineNear(input, wave);
	return wave.workers
		.filter(worker => !wave.ordered.has(worker))
		.flatMap(worker => {
			const view = workers.get(worker);
			const isPostponed = view !== undefined && canWait && !cordoned.has(worker) && input.isPoolBusy(view);
			return view?.isUp && !isPostponed ? [{view, tasks: listTasks(ledger, ledger.incarnations.get(view.life))}] : [];
		})
		.toSorted((left, right) => Number(cordoned.has(right.view.worker)) - Number(cordoned.has(left.view.worker))
			|| left.tasks.length - right.tasks.length);
};

const planWave = (input: MaintenancePlanInput, budgets: Budgets, wave: MaintenanceWave): MaintenancePlan => {
	const cordoned = new Set<WorkerId>();
	const evictions: Task[] = [];
	const unconfirmed = [...wave.ordered]
		.filter(([, {begunAtMs}]) => begunAtMs === undefined)
		.map(([worker, {life}]) => ({wave: wave.wave, worker, life}));
	const requests: MaintenanceRequest[] = [...unconfirmed];
	let slotsLeft = wave.maximumAtOnce - [...wave.ordered].filter(([worker, order]) => isDown(input, worker, order)).length;
	for (const worker of listSwitchedOff(input, wave)) {
		if (slotsLeft > 0) {
			slotsLeft -= 1;
			cordoned.add(worker);
			requests.push({wave: wave.wave, worker, life: undefined});
		}
	}

	for (const {view, tasks} of listCandidates(input, wave)) {
		if (slotsLeft <= 0) {
			break;
		}

		slotsLeft -= 1;
		cordoned.add(view.worker);
		if (tasks.length === 0) {
			requests.push({wave: wave.wave, worker: view.worker, life: view.life});
		} else {
			evictions.push(...planEvictions(input, budgets, tasks));
		}
	}

	return {cordoned, evictions, requests};
};

/**
 * @param wave - A wave.
 * @returns Whether the upkeep of each of its workers has begun.
 */
export function isWaveCompleted(wave: MaintenanceWave): boolean {
	return wave.workers.every(worker => wave.ordered.get(worker)?.begunAtMs !== undefined);
}

/**
 * Plans the next moves of all waves.
 *
 * @param input - The ledger, the time, and how workers and tasks stand.
 * @returns What to do now.
 */
export function planMaintenance(input: MaintenancePlanInput): MaintenancePlan {
	const budgets: Budgets = new Map();
	const waves = [...input.ledger.waves.values()];
	const plans = waves
		.filter(wave => !isWaveCompleted(wave))
		.map(wave => planWave(input, budgets, wave));
	return {
		cordoned: new Set([
			...waves.flatMap(wave => listUnmovable(input, wave)),
			...plans.flatMap(({cordoned}) => [...cordoned]),
		]),
		evictions: plans.flatMap(({evictions}) => evictions),
		requests: plans.flatMap(({requests}) => requests),
	};
}
