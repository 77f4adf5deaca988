/**
 * Tells which long-running tasks of a worker that is due for maintenance could start on another minion of their pool.
 */
import type {PoolId, WorkerId} from '@samphiremill/common';
import {getCapacityBesideLongRunning} from './hold-capacity.js';
import {getStepProgress} from './ledger.js';
import {
	createMinionCapacity, createTaskContext, findPlacementGate, hasCapacity, reserveCapacity,
	type IsAllowed, type MinionCapacity, type StepContext, type UsableMinion,
} from './minion-capacity.js';
import {addResources, createResources, subtractResources} from './resources.js';
import type {
	Ledger, MutableResources, Resources, StepProgress, Task,
} from './types.js';

/** The minions that tasks may be relocated to. */
export type RelocationOptions = {
	readonly ledger: Ledger;
	/** Lists the minions of a pool that may be given work now. */
	readonly listMinions: (pool: PoolId) => readonly UsableMinion[];
	readonly isAllowed: IsAllowed;
};

/** A task, and the worker that it is to leave. */
export type RelocationRequest = {
	readonly task: Task;
	readonly worker: WorkerId;
	/** Whether capacity counts that runs of tasks which end use now. It is kept for a long-running task that waits for it. */
	readonly mayWait: boolean;
};

/** Capacity that was claimed for a task, until it is released. */
export type RelocationClaim = {
	readonly worker: WorkerId;
	readonly release: () => void;
};

/** The capacity for relocated tasks while a plan claims it. */
export type Relocation = {
	/** Claims capacity for a task on another minion. Returns `undefined` if none takes it. */
	readonly claim: (request: RelocationRequest) => RelocationClaim | undefined;
	/** Whether another minion could take the task once its other runs have ended, if nothing were claimed. */
	readonly hasRoom: (task: Task, worker: WorkerId) => boolean;
	/** Leaves out the minions of a worker from now on, since it is drained itself. */
	readonly exclude: (worker: WorkerId) => void;
};

type Host = {
	readonly capacity: MinionCapacity;
	readonly claimed: MutableResources;
};

/** Creates the capacity of all pools, with nothing claimed. */
export function createRelocation({ledger, listMinions, isAllowed}: RelocationOptions): Relocation {
	const hostsByPool = new Map<PoolId, readonly Host[]>();
	const contexts = new Map<StepProgress, StepContext>();
	/** Up to two workers that could take a task of the step, with nothing claimed. */
	const roomsByStep = new Map<StepProgress, readonly WorkerId[]>();
	const excluded = new Set<WorkerId>();

	// Minions that are drained soon are chosen last, as in a plan of starts.
	const getHosts = (pool: PoolId): readonly Host[] => {
		const known = hostsByPool.get(pool);
		if (known !== undefined) {
			return known;
		}

		const hosts = listMinions(pool)
			.toSorted((left, right) => Number(left.isDrainingSoon) - Number(right.isDrainingSoon))
			.map((minion): Host => ({capacity: createMinionCapacity(ledger, minion), claimed: createResources()}));
		hostsByPool.set(pool, hosts);
		return hosts;
	};

	const createCapacityLater = ({minion, runsLeft}: MinionCapacity, claimed: Resources): MinionCapacity =>
		({
			minion, runsLeft, crashSuspect: undefined, plannedJob: undefined, free: {...subtractResources(getCapacityBesideLongRunning(ledger, minion.record), claimed)},
		});

	const getContext = (task: Task, progress: StepProgress): StepContext => {
		const context = contexts.get(progress) ?? createTaskContext(task, progress);
		contexts.set(progress, context);
		return context;
	};

	// A task that has just been stopped does not take a minion on which runs failed lately.
	const canHost = (context: StepContext, capacity: MinionCapacity, task: Task) => hasCapacity(capacity, context)
		&& findPlacementGate(context, capacity, {task, isAllowed, getWaitMs: () => 0}) === undefined;

	const getWorker = ({capacity: {minion: {record}}}: Host) => record.worker;

	const reserve = (context: StepContext, {capacity, claimed}: Host, factor: 1 | -1) => {
		reserveCapacity(context, {capacity, factor});
		addResources(claimed, context.required, factor);
	};

	const listRooms = (task: Task, progress: StepProgress): readonly WorkerId[] => {
		const known = roomsByStep.get(progress);
		if (known !== undefined) {
			return known;
		}

		// The context is not the shared one, since claims don't count here.
		const context = createTaskContext(task, progress);
		const rooms: WorkerId[] = [];
		for (const host of getHosts(task.job.pool)) {
			if (rooms.length < 2 && canHost(context, createCapacityLater(host.capacity, createResources()), task)) {
				rooms.push(getWorker(host));
			}
		}

		roomsByStep.set(progress, rooms);
		return rooms;
	};

	return {
		claim({task, worker, mayWait}) {
			const progress = getStepProgress(task);
			if (progress === undefined) {
				return undefined;
			}

			const context = getContext(task, progress);
			const hosts = getHosts(task.job.pool).filter(host => getWorker(host) !== worker && !excluded.has(getWorker(host)));
			const host = hosts.find(({capacity}) => canHost(context, capacity, task))
				?? (mayWait ? hosts.find(({capacity, claimed}) => canHost(context, createCapacityLater(capacity, claimed), task)) : undefined);
			if (host === undefined) {
				return undefined;
			}

			reserve(context, host, 1);
			return {
				worker: getWorker(host),
				release() {
					reserve(context, host, -1);
				},
			};
		},
		hasRoom(task, worker) {
			const progress = getStepProgress(task);
			return progress !== undefined && listRooms(task, progress).some(room => room !== worker);
		},
		exclude(worker) {
			excluded.add(worker);
		},
	};
}
