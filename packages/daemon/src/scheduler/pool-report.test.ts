import {toBrand, type PoolId} from '@samphiremill/common';
import type {PoolBalance} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {maximumReportedPools} from './constants.js';
import {createSchedulerMetrics} from './metrics.js';
import {reportPools} from './pool-report.js';

const createBalance = (name: string, workLeft: number): PoolBalance => ({
	pool: toBrand<PoolId>(name), isStandby: false, millicores: 48_000, incomingMillicores: 16_000, waitingLastingCount: 0,
	runnableMillicores: 30_040, workLeft, inflowMillicores: 20_000, peakInflowMillicores: 90_000, readiness: 0.5,
});

const collect = (balances: readonly PoolBalance[]) => {
	const lines: unknown[] = [];
	const metrics = createSchedulerMetrics();
	const log = {
		debug() {}, warn() {}, error() {},
		info(message: string, fields?: Readonly<Record<string, unknown>>) {
			lines.push({message, ...fields});
		},
	};
	reportPools(balances, {log, metrics});
	return {lines, series: metrics.format()};
};

test('the state of a pool is logged in cores and set as gauges', () => {
	expect(collect([createBalance('counter', 2_600_000)])).toMatchInlineSnapshot(`
		{
		  "lines": [
		    {
		      "message": "state of the pools",
		      "omitted": 0,
		      "pools": [
		        {
		          "capacity": 48,
		          "incoming": 16,
		          "inflow": 20,
		          "peakInflow": 90,
		          "pool": "counter",
		          "readiness": 0.5,
		          "runnable": 30,
		          "waitingLasting": 0,
		          "workLeft": 3,
		        },
		      ],
		    },
		  ],
		  "series": "samphiremill_pool_cores{pool="counter",kind="capacity"} 48
		samphiremill_pool_cores{pool="counter",kind="incoming"} 16
		samphiremill_pool_cores{pool="counter",kind="runnable"} 30
		samphiremill_pool_cores{pool="counter",kind="inflow"} 20
		samphiremill_pool_cores{pool="counter",kind="peakInflow"} 90
		samphiremill_pool_burst_readiness{pool="counter"} 0.5
		",
		}
	`);
});

test('of many pools only the most loaded are reported', () => {
	const balances = Array.from({length: maximumReportedPools + 8}, (_, index) => createBalance(`pool-${index}`, index * 1e6));
	const [line] = collect(balances).lines as ReadonlyArray<{readonly pools: ReadonlyArray<{readonly pool: string}>; readonly omitted: number}>;
	expect({count: line?.pools.length, first: line?.pools[0]?.pool, omitted: line?.omitted}).toEqual({count: 32, first: 'pool-39', omitted: 8});
});
