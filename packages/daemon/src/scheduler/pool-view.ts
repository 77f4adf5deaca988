/**
 * How the pools stand: what they are asked for, and what their minions offer.
 */
import type {PoolId, TimerService} from '@samphiremill/common';
import {
	forecastBursts, getBurstConfidence, measurePoolWorkload, measureWorkAhead, emptyBurstHistory, recordInflow,
	type Ledger, type PoolLoad, type PoolBalance, type Resources, type TeamDefinition,
} from '@samphiremill/core';
import {peakDemandRetentionMs} from './constants.js';
import type {DemandMeter} from './demand-meter.js';
import type {MinionSession} from './minion-session.js';
import type {SessionRegistry} from './session-registry.js';
import type {ListedWorker} from './types.js';

/** What the view rests on. */
export type PoolViewOptions = {
	readonly timers: TimerService;
	readonly demand: DemandMeter;
	readonly getLedger: () => Ledger;
	readonly getWallClock: () => number;
	readonly sessions: SessionRegistry;
	/** Whether a minion may be given work. */
	readonly isPlaceable: (session: MinionSession) => boolean;
	readonly listSwitchedOff: () => readonly ListedWorker[];
	/** Processors on their way to a pool. */
	readonly getIncomingMillicores: (pool: PoolId) => number;
	/** How long the platform takes to move a worker, in milliseconds. */
	readonly moveMs: number;
};

/** A job that asks for a place. */
export type PoolLoadRequest = {
	readonly team: TeamDefinition | undefined;
	/** Its work, in millicore milliseconds. */
	readonly work: number;
};

/** The pools of one leader. */
export type PoolView = {
	/** What an admission to a pool rests on. */
	readonly getLoad: (pool: PoolId, claim: PoolLoadRequest) => PoolLoad;
	readonly listPoolBalances: () => readonly PoolBalance[];
	/** Pools that can't spare a worker for upkeep without need. */
	readonly listLoadedPools: () => ReadonlySet<PoolId>;
};

// What a worker that was moved takes until its minion has reported and was looked at.
const arrivalDelayMs = 1000;

// A pool of which this part of its processors is wanted keeps its workers.
const loadedPoolThreshold = 0.6;

const sumMillicores = (capacities: readonly Resources[]) => capacities.reduce((sum, {cpuMillicores}) => sum + cpuMillicores, 0);

const getLargest = (capacities: readonly Resources[]): Resources | undefined => capacities.length === 0
	? undefined
	: {
		cpuMillicores: Math.max(...capacities.map(({cpuMillicores}) => cpuMillicores)),
		memoryMb: Math.max(...capacities.map(({memoryMb}) => memoryMb)),
		gpus: Math.max(...capacities.map(({gpus}) => gpus)),
	};

/**
 * @param options - What the view rests on.
 * @returns The view.
 */
export function createPoolView({timers, demand, sessions, getLedger, getWallClock, isPlaceable, listSwitchedOff, getIncomingMillicores, moveMs}: PoolViewOptions): PoolView {
	const beganAtMs = timers.getNow();
	let bursts = emptyBurstHistory;

	const listPlaceable = (pool: PoolId) => [...sessions.listPool(pool)].filter(session => isPlaceable(session));

	// Before its first burst a pool is expected to need its part of the fleet.
	const getExpectedPeak = (poolCount: number) => {
		const all = [...[...sessions.values()].map(({record}) => record.capacity.cpuMillicores), ...listSwitchedOff().map(({millicores}) => millicores)];
		return timers.getNow() - beganAtMs < peakDemandRetentionMs ? all.reduce((sum, millicores) => sum + millicores, 0) / Math.max(1, poolCount) : 0;
	};

	const recordInflows = (pools: readonly PoolId[], expectedPeak: number) => {
		for (const pool of pools) {
			bursts = recordInflow(bursts, {
				pool, nowMs: timers.getNow(), inflowMillicores: demand.getRate(pool), peakInflowMillicores: Math.max(expectedPeak, demand.getPeakRate(pool)),
			});
		}

		return forecastBursts(bursts, pools);
	};

	const listPressures = (): readonly PoolBalance[] => {
		const definitions = getLedger().configuration?.pools ?? [];
		const expectedPeak = getExpectedPeak(definitions.length);
		const forecasts = recordInflows(definitions.filter(({isStandby}) => !isStandby).map(({pool}) => pool), expectedPeak);
		return definitions.map(({pool, isStandby}) => {
			const {longRunningMillicores: lastingMillicores, waitingLongRunningCount: waitingLastingCount, runningMillicores, readyMillicores, workLeft} = measurePoolWorkload(getLedger(), pool, getWallClock());
			const cpuMillicores = sumMillicores(listPlaceable(pool).map(({record}) => record.capacity));
			const incomingMillicores = getIncomingMillicores(pool);
			return {
				pool,
				isStandby,
				millicores: cpuMillicores + incomingMillicores - lastingMillicores,
				incomingMillicores,
				waitingLastingCount,
				runnableMillicores: runningMillicores + readyMillicores,
				workLeft,
				inflowMillicores: demand.getRate(pool),
				peakInflowMillicores: Math.max(expectedPeak, demand.getPeakRate(pool)),
				readiness: getBurstConfidence(forecasts, {pool, nowMs: timers.getNow(), leadMs: moveMs + arrivalDelayMs}),
			};
		});
	};

	const getLoad = (pool: PoolId, {team, work}: PoolLoadRequest): PoolLoad => {
		const {longRunningMillicores: lastingMillicores} = measurePoolWorkload(getLedger(), pool, getWallClock());
		const capacities = listPlaceable(pool).map(({record}) => record.capacity);
		const cpuMillicores = sumMillicores(capacities);
		return {
			cpuMillicores: Math.max(0, cpuMillicores + getIncomingMillicores(pool) - lastingMillicores),
			parallelismLimit: {poolMillicores: cpuMillicores, teamMillicores: team?.maximum.cpuMillicores ?? 0},
			workAhead: measureWorkAhead(getLedger(), {pool, work, nowMs: getWallClock()}),
			largestMinion: getLargest(capacities),
		};
	};

	return {
		getLoad,
		listPoolBalances: listPressures,
		listLoadedPools: () => new Set(listPressures()
			.filter(({millicores, runnableMillicores, inflowMillicores}) => Math.max(runnableMillicores, inflowMillicores) > millicores * loadedPoolThreshold)
			.map(({pool}) => pool)),
	};
}
