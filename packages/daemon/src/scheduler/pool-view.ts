/**
 * State of the pools: the demand on them, and the capacity of their minions.
 */
import type {PoolId, TimerService} from '@samphiremill/common';
import {
	getExpectedPeak, getBurstConfidence, measurePoolWorkload, measureWorkAhead, emptyBurstHistory, recordInflow,
	type Ledger, type PoolLoad, type PoolBalance, type Resources, type TeamDefinition,
} from '@samphiremill/core';
import {peakDemandRetentionMs} from './constants.js';
import type {DemandMeter} from './demand-meter.js';
import type {MinionSession} from './minion-session.js';
import type {SchedulerPolicy} from './policy.js';
import type {SessionRegistry} from './session-registry.js';
import type {ListedWorker} from './types.js';

/** Dependencies of the view. */
export type PoolViewOptions = {
	readonly timers: TimerService;
	readonly demand: DemandMeter;
	readonly policy: Pick<SchedulerPolicy, 'forecastBursts' | 'getExpectedInflow'>;
	readonly getLedger: () => Ledger;
	readonly getWallClock: () => number;
	readonly sessions: SessionRegistry;
	/** Whether tasks may be assigned to a minion. */
	readonly isPlaceable: (session: MinionSession) => boolean;
	readonly listSwitchedOff: () => readonly ListedWorker[];
	/** Processors of the workers that are being moved to a pool. */
	readonly getIncomingMillicores: (pool: PoolId) => number;
	/** How long the platform takes to move a worker, in milliseconds. */
	readonly moveMs: number;
	/** How long the advice service is busy with what waits for it, in milliseconds. */
	readonly getAdviceWaitMs: () => number;
};

/** A job that asks to be admitted to a pool. */
export type PoolLoadRequest = {
	readonly team: TeamDefinition | undefined;
	/** Work of the job, in millicore milliseconds. */
	readonly work: number;
	/** Whether its queue has advice. */
	readonly hasAdvice: boolean;
};

/** State of the pools, as one leader sees them. */
export type PoolView = {
	/** Returns the load that the admission of a job to a pool is decided by. */
	readonly getLoad: (pool: PoolId, request: PoolLoadRequest) => PoolLoad;
	readonly listPoolBalances: () => readonly PoolBalance[];
	/** Pools too loaded to give up a worker to maintenance that can wait, by the latest balances that were listed. */
	readonly listLoadedPools: () => ReadonlySet<PoolId>;
};

// Time from the end of a move until the minion has reported and has answered its first hold call.
const arrivalDelayMs = 1000;

// A pool keeps its workers while more than this part of its processors is in demand.
const loadedPoolThreshold = 0.6;

/** How long the capacity of a pool's minions is taken as it was, in milliseconds. Jobs come faster than minions come and go. */
const capacityRefreshMs = 50;

/** What the minions of a pool have that may be given work. */
type PlaceableCapacity = {
	readonly measuredAtMs: number;
	readonly cpuMillicores: number;
	/** The largest amount of each resource; `undefined` without minions. */
	readonly largest: Resources | undefined;
};

const sumMillicores = (capacities: readonly Resources[]) => capacities.reduce((sum, {cpuMillicores}) => sum + cpuMillicores, 0);

const getLargest = (capacities: readonly Resources[]): Resources | undefined => capacities.length === 0
	? undefined
	: {
		cpuMillicores: Math.max(...capacities.map(({cpuMillicores}) => cpuMillicores)),
		memoryMb: Math.max(...capacities.map(({memoryMb}) => memoryMb)),
		gpus: Math.max(...capacities.map(({gpus}) => gpus)),
	};

export function createPoolView({timers, demand, policy, sessions, getLedger, getWallClock, isPlaceable, listSwitchedOff, getIncomingMillicores, moveMs, getAdviceWaitMs}: PoolViewOptions): PoolView {
	const termStartedAtMs = timers.getNow();
	let bursts = emptyBurstHistory;
	let latestBalances: readonly PoolBalance[] | undefined;

	const capacities = new Map<PoolId, PlaceableCapacity>();

	const measureCapacity = (pool: PoolId): PlaceableCapacity => {
		const placeable = [...sessions.listPool(pool)].filter(session => isPlaceable(session)).map(({record}) => record.capacity);
		const measured = {measuredAtMs: timers.getNow(), cpuMillicores: sumMillicores(placeable), largest: getLargest(placeable)};
		capacities.set(pool, measured);
		return measured;
	};

	const getCapacity = (pool: PoolId): PlaceableCapacity => {
		const known = capacities.get(pool);
		return known !== undefined && timers.getNow() - known.measuredAtMs < capacityRefreshMs ? known : measureCapacity(pool);
	};

	// A new leader has not seen a burst of any pool yet. For some time it expects each pool to need an equal part of the fleet.
	const getDefaultPeak = (poolCount: number) => {
		const all = [...[...sessions.values()].map(({record}) => record.capacity.cpuMillicores), ...listSwitchedOff().map(({millicores}) => millicores)];
		return timers.getNow() - termStartedAtMs < peakDemandRetentionMs ? all.reduce((sum, millicores) => sum + millicores, 0) / Math.max(1, poolCount) : 0;
	};

	const recordInflows = (pools: readonly PoolId[], defaultPeak: number) => {
		for (const pool of pools) {
			bursts = recordInflow(bursts, {
				pool, nowMs: timers.getNow(), inflowMillicores: demand.getRate(pool), inflowLowerBoundMillicores: demand.getRateLowerBound(pool), peakInflowMillicores: Math.max(defaultPeak, demand.getPeakRate(pool)),
			});
		}

		return policy.forecastBursts(bursts, pools);
	};

	const getBurstPeak = (pool: PoolId, defaultMillicores: number) => getExpectedPeak({
		ownMillicores: demand.getPeakRate(pool),
		othersMillicores: [...new Set(bursts.bursts.map(burst => burst.pool))].filter(other => other !== pool).map(other => demand.getPeakRate(other)),
		defaultMillicores,
	});

	const getInflow = (pool: PoolId, defaultPeak: number) => {
		const burst = bursts.bursting.has(pool) ? bursts.bursts.findLast(other => other.pool === pool) : undefined;
		return policy.getExpectedInflow(demand.getRate(pool), burst && {
			ageMs: timers.getNow() - burst.startedAtMs,
			submittedWork: demand.getWorkSince(pool, burst.startedAtMs),
			expectedInflowMillicores: getBurstPeak(pool, defaultPeak),
		});
	};

	const measureBalances = (): readonly PoolBalance[] => {
		const definitions = getLedger().configuration?.pools ?? [];
		const defaultPeak = getDefaultPeak(definitions.length);
		const forecasts = recordInflows(definitions.filter(({isStandby}) => !isStandby).map(({pool}) => pool), defaultPeak);
		return definitions.map(({pool, isStandby}) => {
			const {longRunningMillicores, waitingLongRunningCount, runningMillicores, readyMillicores, workLeft} = measurePoolWorkload(getLedger(), pool, getWallClock());
			const {cpuMillicores} = measureCapacity(pool);
			const incomingMillicores = getIncomingMillicores(pool);
			return {
				pool,
				isStandby,
				millicores: cpuMillicores + incomingMillicores - longRunningMillicores,
				incomingMillicores,
				waitingLastingCount: waitingLongRunningCount,
				runnableMillicores: runningMillicores + readyMillicores,
				workLeft,
				inflowMillicores: getInflow(pool, defaultPeak),
				peakInflowMillicores: Math.max(defaultPeak, demand.getPeakRate(pool)),
				readiness: getBurstConfidence(forecasts, {pool, nowMs: timers.getNow(), leadMs: moveMs + arrivalDelayMs}),
			};
		});
	};

	// Measured for the moves, each tick.
	const listPoolBalances = (): readonly PoolBalance[] => {
		latestBalances = measureBalances();
		return latestBalances;
	};

	const getLoad = (pool: PoolId, {team, work, hasAdvice}: PoolLoadRequest): PoolLoad => {
		const {longRunningMillicores} = measurePoolWorkload(getLedger(), pool, getWallClock());
		const {cpuMillicores, largest} = getCapacity(pool);
		return {
			cpuMillicores: Math.max(0, cpuMillicores + getIncomingMillicores(pool) - longRunningMillicores),
			parallelismLimit: {poolMillicores: cpuMillicores, teamMillicores: team?.maximum.cpuMillicores ?? 0},
			workAhead: measureWorkAhead(getLedger(), {pool, work, nowMs: getWallClock()}),
			largestMinion: largest,
			storedBytes: getLedger().storedBytes,
			adviceWaitMs: hasAdvice ? getAdviceWaitMs() : 0,
		};
	};

	return {
		getLoad,
		listPoolBalances,
		listLoadedPools: () => new Set((latestBalances ?? listPoolBalances())
			.filter(({millicores, runnableMillicores, inflowMillicores}) => Math.max(runnableMillicores, inflowMillicores) > millicores * loadedPoolThreshold)
			.map(({pool}) => pool)),
	};
}
