/**
 * The minions of the simulation: their incarnations, clocks, leases and runs.
 */
import {
	toBrand, type DataCentreId, type MinionId, type PoolId, type RackId, type WorkerId,
} from '@samphiremill/common';
import {
	createIncarnationId, type MinionRecord, type RunEnding, type TaskId,
} from '@samphiremill/core';
import {getStepName} from '../../fleet-checks/task-name.js';
import {
	checkpointPeriodMs, introductionMs, pool, quickFailureMs, warmUpMs,
} from './constants.js';
import type {Simulation} from './simulation.js';
import type {FakeMinion, FakeRun, OrderFault} from './types.js';

/** A run and the minion that it is on. */
export type PlacedRun = {
	readonly minion: FakeMinion;
	readonly id: TaskId;
	readonly run: FakeRun;
};

// The kind stays with the worker.
const getKind = (worker: WorkerId, kindCount: number) => `kind-${Number(worker.slice(worker.lastIndexOf('-') + 1)) % kindCount}`;

/** The minions of a simulation. */
export type FakeFleet = {
	/** Starts a minion on the worker; with an identity, another incarnation of that minion. */
	readonly createMinion: (worker: WorkerId, minionPool: PoolId, identity?: MinionRecord) => FakeMinion;
	/** Returns the minion's clock, in milliseconds since its start. */
	readonly getClock: (minion: FakeMinion) => number;
	readonly finish: (minion: FakeMinion, id: TaskId, ending: RunEnding) => void;
	/** Ends what is due to end: runs that lapse, are stopped, or are through. */
	readonly applyElapsedTime: (minion: FakeMinion) => void;
	/** Lists the minions that are up. */
	readonly listMinions: () => readonly FakeMinion[];
	readonly listRunning: () => readonly PlacedRun[];
	/** Returns the minion at this place among those that are up. */
	readonly findMinion: (index: number) => FakeMinion | undefined;
	readonly getOrderFault: (minion: FakeMinion) => OrderFault | undefined;
	/** Whether the minion is up, answers, starts what it is told to, and stays. */
	readonly isSound: (minion: FakeMinion) => boolean;
	/** Draws how long a run that starts now takes, in milliseconds. */
	readonly drawRunDurationMs: (minion: FakeMinion, isLasting: boolean) => number;
	readonly recordStart: (minion: FakeMinion) => void;
	/** Counts the starts that minions carried out. */
	readonly countStarts: () => number;
	/** Ends the incarnation at once. */
	readonly remove: (minion: FakeMinion) => void;
	/** Whether the task serves or works on a minion that answers. */
	readonly isAtWork: (id: TaskId) => boolean;
	/** Returns the last checkpoint of a run. */
	readonly getCheckpoint: (run: PlacedRun) => string;
	/** Calls the listener whenever a run is over: it has ended, or its minion has. */
	readonly subscribeToEnds: (listener: (run: PlacedRun, ending: RunEnding) => void) => void;
};

/**
 * Creates the fleet of a simulation without minions.
 *
 * @param simulation - The shared state.
 * @returns The fleet.
 */
export function createFakeFleet(simulation: Simulation): FakeFleet {
	const {minions, random, timers, faults, settings, checks} = simulation;
	const endListeners: Array<(run: PlacedRun, ending: RunEnding) => void> = [];
	let nextMinionNumber = 1;
	let startCount = 0;

	const createRecord = (worker: WorkerId, minionPool: PoolId, identity: MinionRecord | undefined): MinionRecord => {
		const minion = identity?.minion ?? toBrand<MinionId>(`i-${nextMinionNumber}`);
		const bornAtMs = Math.floor(simulation.getWallClock() + settings.getClockError());
		return {
			life: createIncarnationId(minion, bornAtMs),
			minion,
			bornAtMs,
			address: identity?.address ?? `10.0.0.${nextMinionNumber}:80`,
			worker,
			pool: minionPool,
			dataCentre: toBrand<DataCentreId>('dc-1'),
			rack: toBrand<RackId>(`r${nextMinionNumber % 3}`),
			labels: settings.workerKinds === undefined ? [] : [getKind(worker, settings.workerKinds)],
			capacity: {cpuMillicores: 8000, memoryMb: 32_768, gpus: 0},
		};
	};

	const createMinion = (worker: WorkerId, minionPool: PoolId, identity?: MinionRecord): FakeMinion => {
		const record = createRecord(worker, minionPool, identity);
		nextMinionNumber += 1;
		const created: FakeMinion = {
			record,
			clockRate: 0.98 + (random() * 0.02),
			bornAtMs: timers.getNow(),
			runs: new Map(),
			highestRuns: new Map(),
			finished: [],
			nextNumber: 1,
			startCount: 0,
			fencingToken: 0,
			deadlineMs: 0,
			isSilent: false,
			isGone: false,
			isRefusing: false,
			isStalled: false,
			failsUntilMs: 0,
			orderFault: undefined,
			lastLapseNumber: 0,
			delayed: [],
			isDraining: false,
		};
		minions.set(record.address, created);
		checks.record({type: 'minionUp', record});
		return created;
	};

	const getClock = (minion: FakeMinion) => Math.floor((timers.getNow() - minion.bornAtMs) * minion.clockRate);

	const notifyEnd = (run: PlacedRun, ending: RunEnding) => {
		for (const listener of endListeners) {
			listener(run, ending);
		}
	};

	const getCheckpoint = ({id, run}: PlacedRun) => {
		const step = simulation.findStep(id);
		const elapsedMs = timers.getNow() - run.workingSinceMs;
		if (settings.hasCheckpoints !== true || step?.hasCheckpoints !== true || elapsedMs < checkpointPeriodMs) {
			return run.checkpoint;
		}

		// The members of a gang save one checkpoint.
		const checkpoint = `${step.isGang ? getStepName(id) : id}#${run.run}/${Math.floor(elapsedMs / checkpointPeriodMs)}`;
		checks.record({type: 'checkpointSaved', task: id, checkpoint});
		return checkpoint;
	};

	const finish: FakeFleet['finish'] = (minion, id, ending) => {
		const run = minion.runs.get(id);
		if (run === undefined) {
			return;
		}

		minion.runs.delete(id);
		const end = {
			number: minion.nextNumber, task: id, run: run.run, ending, checkpoint: ending === 'done' ? '' : getCheckpoint({minion, id, run}),
		};
		minion.finished.push(end);
		minion.nextNumber += 1;
		checks.record({type: 'runEnded', life: minion.record.life, ...end});
		notifyEnd({minion, id, run}, ending);
	};

	// A lease expires whether or not anything runs. Ends from before the expiry are no longer valid after it.
	const applyLease = (minion: FakeMinion) => {
		if (getClock(minion) <= minion.deadlineMs) {
			return;
		}

		for (const id of minion.runs.keys()) {
			finish(minion, id, 'lapsed');
		}

		minion.lastLapseNumber = minion.nextNumber - 1;
		checks.record({type: 'leaseLapsed', life: minion.record.life});
	};

	const applyElapsedTime = (minion: FakeMinion) => {
		if (minion.isGone) {
			return;
		}

		applyLease(minion);
		for (const [id, run] of minion.runs) {
			if (timers.getNow() >= run.stopAtMs) {
				finish(minion, id, 'stopped');
			} else if (timers.getNow() >= run.endsAtMs) {
				finish(minion, id, run.ending);
			}
		}
	};

	const listMinions = () => [...minions.values()].filter(({isGone}) => !isGone);

	const getOrderFault = ({orderFault}: FakeMinion) => orderFault !== undefined && timers.getNow() < orderFault.untilMs ? orderFault.kind : undefined;

	const listRunning = () => listMinions().flatMap(minion => [...minion.runs].map(([id, run]) => ({minion, id, run})));

	return {
		createMinion,
		getClock,
		finish,
		applyElapsedTime,
		listMinions,
		listRunning,
		findMinion: index => listMinions()[index],
		getOrderFault,
		isSound: minion => !minion.isSilent && !minion.isDraining && !minion.isStalled
			&& timers.getNow() >= minion.failsUntilMs && getOrderFault(minion) === undefined
			&& !faults.silentlyLeaving.has(minion.record.life) && timers.getNow() - minion.bornAtMs > introductionMs,
		drawRunDurationMs(minion, isLasting) {
			if (timers.getNow() < minion.failsUntilMs) {
				return random() * quickFailureMs;
			}

			if (isLasting && settings.meanLifeMs !== undefined && !minion.isStalled) {
				return -Math.log(1 - random()) * settings.meanLifeMs;
			}

			return isLasting || minion.isStalled ? Number.POSITIVE_INFINITY : 300 + (random() * 500);
		},
		countStarts: () => startCount,
		recordStart(minion) {
			startCount += 1;
			minion.startCount += 1;
		},
		remove(minion) {
			minion.isGone = true;
			checks.record({type: 'minionDown', life: minion.record.life});
			for (const [id, run] of minion.runs) {
				notifyEnd({minion, id, run}, 'lapsed');
			}
		},
		isAtWork: id => listRunning().some(({id: other, minion, run}) => other === id && !minion.isSilent && timers.getNow() - run.startedAtMs > warmUpMs),
		getCheckpoint,
		subscribeToEnds(listener) {
			endListeners.push(listener);
		},
	};
}

/** A worker's change of pool, as the platform knows it. */
export type GetPool = (worker: WorkerId) => PoolId | undefined;

/** Ends an incarnation. */
export type EndIncarnation = (minion: FakeMinion, options: {readonly downMs: number; readonly identity?: MinionRecord}) => void;

/**
 * Creates the function that ends an incarnation. The minion comes back unless its worker has been moved to another
 * pool in the meantime.
 *
 * @param simulation - The shared state.
 * @param fleet - The minions.
 * @param getMovedPool - Returns the pool of a worker that the platform may move.
 * @returns The function.
 */
export function createEndIncarnation(simulation: Simulation, fleet: FakeFleet, getMovedPool: GetPool): EndIncarnation {
	return (minion, {downMs, identity}) => {
		fleet.remove(minion);
		simulation.recordFault(downMs);
		simulation.timers.scheduleOnce(downMs, () => {
			const {worker, pool: minionPool} = minion.record;
			const wasMoved = (getMovedPool(worker) ?? pool) !== minionPool || fleet.listMinions().some(({record}) => record.worker === worker);
			if (!wasMoved) {
				fleet.createMinion(worker, minionPool, identity);
			}
		});
	};
}
