import {
	joinPath, type Finding, type PoolId, type WorkerId,
} from '@samphiremill/common';
import type {WaveRecord} from '../control/types.js';
import {getPoolHosts} from './availability.js';
import type {FleetRecords, WavesConfig} from './types.js';

/**
 * Finds what keeps a wave from ever ending under the records as they are: unknown pools and hosts,
 * and bounds of 0.
 *
 * @param input - The wave's record, the other records, and the bounds over all waves.
 * @returns Every obstacle, with its place in the wave's record.
 */
export function findWaveObstacles({record, records, cfg}: {
	record: WaveRecord;
	records: FleetRecords;
	cfg: Pick<WavesConfig, 'maximumHostsAsideFleetWide'>;
}): readonly Finding[] {
	return [
		...findLimitObstacles(record, cfg.maximumHostsAsideFleetWide),
		...record.pools.flatMap((pool, index) => findPoolObstacles({
			pool, index, record, records,
		})),
		...(record.workers ?? []).flatMap((worker, index) => findWorkerObstacles({
			worker, index, record, records,
		})),
	];
}

function findLimitObstacles(record: WaveRecord, maximumHostsAsideFleetWide: number): readonly Finding[] {
	const findings: Finding[] = [];
	if (record.maximumHostsAside < 1) {
		findings.push({path: '/maximumHostsAside', message: 'a wave that may set 0 hosts aside never ends'});
	}

	if (maximumHostsAsideFleetWide < 1) {
		findings.push({path: '', message: 'the fleet-wide bound allows 0 hosts aside, so no wave can run'});
	}

	return findings;
}

function findPoolObstacles({pool, index, record, records}: {
	pool: PoolId;
	index: number;
	record: WaveRecord;
	records: FleetRecords;
}): readonly Finding[] {
	const path = joinPath('/pools', index);
	const poolRecord = records.pools.find(({id}) => id === pool);
	if (poolRecord === undefined) {
		return [{path, message: `pool "${pool}" has no record`}];
	}

	const members = getPoolHosts({pool, ownership: records.ownership});
	const concerned = record.workers === undefined ? members : members.filter(worker => record.workers?.includes(worker));
	if (poolRecord.maximumUnavailableHosts > 0 || concerned.length === 0) {
		return [];
	}

	const message = `pool "${pool}" allows 0 unavailable hosts, so ${concerned.length} of its hosts can never be drained`;
	return [{path, message}];
}

function findWorkerObstacles({worker, index, record, records}: {
	worker: WorkerId;
	index: number;
	record: WaveRecord;
	records: FleetRecords;
}): readonly Finding[] {
	const path = joinPath('/workers', index);
	if (!records.workers.some(({id}) => id === worker)) {
		return [{path, message: `worker "${worker}" has no record`}];
	}

	const owner = records.ownership.find(other => other.worker === worker)?.phase.pool;
	if (owner === undefined || !record.pools.includes(owner)) {
		return [{path, message: `worker "${worker}" belongs to none of the wave's pools`}];
	}

	return [];
}
