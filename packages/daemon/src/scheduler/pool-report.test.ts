import {toBrand, type PoolId} from '@samphiremill/common';
import type {PoolBalance} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {maximumReportedPools} from './constants.js';
import {createSchedulerMetrics} from './metrics.js';
import {clearPoolGauges, reportPools} from './pool-report.js';

const createBalance = (name: string, workLeft: number): PoolBalance => ({
	pool: toBrand<PoolId>(name), isStandby: false, millicores: 48_000, incomingMillicores: 16_000, waitingLastingCount: 0,
	runnableMillicores: 30_040, workLeft, inflowMillicores: 20_000, peakInflowMillicores: 90_000, readiness: 0.5,
});

const ignore = () => undefined;

const collect = (balances: readonly PoolBalance[]) => {
	const lines: Array<{readonly message: string; readonly fields: Readonly<Record<string, unknown>> | undefined}> = [];
	const metrics = createSchedulerMetrics();
	const log = {
		debug: ignore,
		warn: ignore,
		error: ignore,
		info(message: string, fields?: Readonly<Record<string, unknown>>) {
			lines.push({message, fields});
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
		      "fields": {
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
		      "message": "state of the pools",
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
	const {lines, series} = collect(balances);
	expect(lines[0]?.fields).toMatchObject({omitted: 8});
	expect(lines[0]?.fields?.pools).toHaveLength(maximumReportedPools);
	expect(series).toContain('pool="pool-39"');
	expect(series).not.toContain('pool="pool-7"');
});

test('a host that no longer leads shows no gauges', () => {
	const metrics = createSchedulerMetrics();
	reportPools([createBalance('counter', 2_600_000)], {
		log: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		}, metrics,
	});
	clearPoolGauges(metrics);
	expect(metrics.format()).toBe('');
});
