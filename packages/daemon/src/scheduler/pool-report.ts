/**
 * Reports the capacity, demand and forecast of each pool once a second, as one log line and as gauges, so that a late
 * job can be traced to the state of its pool.
 */
import type {PoolBalance} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {maximumReportedPools} from './constants.js';
import type {SchedulerMetrics} from './metrics.js';

const toCores = (millicores: number) => Math.round(millicores / 100) / 10;

/** The logged state of a pool; the amounts are in cores, and the work is in core seconds. */
const createEntry = ({pool, millicores, incomingMillicores, runnableMillicores, workLeft, inflowMillicores, peakInflowMillicores, waitingLastingCount, readiness}: PoolBalance) => ({
	pool,
	capacity: toCores(millicores),
	incoming: toCores(incomingMillicores),
	runnable: toCores(runnableMillicores),
	workLeft: Math.round(workLeft / 1e6),
	inflow: toCores(inflowMillicores),
	peakInflow: toCores(peakInflowMillicores),
	waitingLasting: waitingLastingCount,
	readiness: Math.round(readiness * 100) / 100,
});

/** Removes the gauges, which only the leader knows. */
export function clearPoolGauges(metrics: SchedulerMetrics): void {
	metrics.setGauges('pool_cores', new Map());
	metrics.setGauges('pool_burst_readiness', new Map());
}

/** Logs the balances of the pools, the most loaded first, and sets their gauges. */
export function reportPools(balances: readonly PoolBalance[], {log, metrics}: {readonly log: StructuredLogger; readonly metrics: SchedulerMetrics}): void {
	const reported = balances.toSorted((left, right) => right.workLeft - left.workLeft).slice(0, maximumReportedPools);
	const pools = reported.map(balance => createEntry(balance));
	log.info('state of the pools', {pools, omitted: balances.length - reported.length});
	metrics.setGauges('pool_cores', new Map(pools.flatMap(({pool, capacity, incoming, runnable, inflow, peakInflow}) =>
		Object.entries({
			capacity, incoming, runnable, inflow, peakInflow,
		}).map(([kind, value]) => [`pool="${pool}",kind="${kind}"`, value] as const))));
	metrics.setGauges('pool_burst_readiness', new Map(pools.map(({pool, readiness}) => [`pool="${pool}"`, readiness] as const)));
}
