/**
 * Orders in which hosts are granted. The order never decides whether a grant is allowed.
 */
import type {PoolId} from '@samphiremill/common';
import {isAside} from './availability.js';
import type {
	DrainCandidate, FleetRecords, OrderHosts, WavesState,
} from './types.js';

/**
 * Grants hosts of the pools first whose budgets determine the end of the wave. These pools need at least as
 * many rounds as the limit on hosts aside does. Next it prefers racks and data centres that already have a
 * host aside, so that few failure domains are affected at once. It never waits until a rack is complete.
 */
export const orderByFailureDomain: OrderHosts = ({candidates, control: {waves, records}}) => {
	const rounds = countRoundsPerPool(candidates, records);
	const activeDomains = findActiveDomains(waves, records);
	const limit = Math.max(1, ...records.waves.map(({record}) => record.maximumHostsAside));
	const limitRounds = Math.ceil(candidates.length / limit);
	return candidates
		.map(candidate => ({candidate, rank: getRank(candidate)}))
		.toSorted((left, right) => compareRanks(left.rank, right.rank))
		.map(({candidate}) => candidate);

	function getRank({pool, worker, wave}: DrainCandidate): readonly string[] {
		return [
			(rounds.get(pool) ?? 0) >= limitRounds ? '0' : '1',
			activeDomains.has(getRackKey(worker)) ? '0' : '1',
			activeDomains.has(worker.dataCentre) ? '0' : '1',
			String(1_000_000 - (rounds.get(pool) ?? 0)),
			pool,
			worker.dataCentre,
			worker.rack,
			worker.id,
			wave,
		];
	}
};

/**
 * Grants hosts in order of their ids, regardless of pool and failure domain. A baseline for benchmarks.
 */
export const orderById: OrderHosts = ({candidates}) =>
	candidates.toSorted((left, right) => left.worker.id < right.worker.id ? -1 : 1);

/**
 * Grants one host of the whole fleet at a time, in order of id. A baseline for benchmarks.
 *
 * @returns At most one candidate, and none while a host is aside.
 */
export const orderSingly: OrderHosts = input => {
	const isBusy = input.control.waves.waves.some(({hosts}) => hosts.some(host => isAside(host)));
	return isBusy ? [] : orderById(input).slice(0, 1);
};

/**
 * Starts a rack only when no host of another rack is aside. A baseline for benchmarks, in which each rack
 * waits for the slowest host of the rack before it.
 *
 * @returns The candidates of the racks that have a host aside, or of the first rack when none has.
 */
export const orderByWholeRack: OrderHosts = input => {
	const {waves, records} = input.control;
	const ordered = input.candidates.toSorted((left, right) =>
		getRackKey(left.worker) === getRackKey(right.worker)
			? compareText(left.worker.id, right.worker.id)
			: compareText(getRackKey(left.worker), getRackKey(right.worker)));
	const [first] = ordered;
	const activeDomains = findActiveDomains(waves, records);
	return ordered.filter(({worker}) => activeDomains.size === 0
		? first !== undefined && getRackKey(worker) === getRackKey(first.worker)
		: activeDomains.has(getRackKey(worker)));
};

function countRoundsPerPool(candidates: readonly DrainCandidate[], records: FleetRecords): ReadonlyMap<PoolId, number> {
	const counts = new Map<PoolId, number>();
	for (const {pool} of candidates) {
		counts.set(pool, (counts.get(pool) ?? 0) + 1);
	}

	return new Map(records.pools.map(({id, maximumUnavailableHosts}) => [
		id,
		Math.ceil((counts.get(id) ?? 0) / Math.max(1, maximumUnavailableHosts)),
	]));
}

function findActiveDomains(waves: WavesState, records: FleetRecords): ReadonlySet<string> {
	const aside = new Set(waves.waves.flatMap(({hosts}) => hosts.filter(host => isAside(host)).map(({worker}) => worker)));
	return new Set(records.workers
		.filter(({id}) => aside.has(id))
		.flatMap(worker => [getRackKey(worker), worker.dataCentre]));
}

function getRackKey({dataCentre, rack}: Pick<DrainCandidate['worker'], 'dataCentre' | 'rack'>): string {
	return `${dataCentre}/${rack}`;
}

function compareRanks(left: readonly string[], right: readonly string[]): number {
	const index = left.findIndex((part, position) => part !== right[position]);
	return index === -1 ? 0 : compareText(left[index] ?? '', right[index] ?? '');
}

function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
