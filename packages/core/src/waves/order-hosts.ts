/**
 * Orders in which hosts get their turn. The order never decides whether a grant is allowed.
 */
import type {PoolId} from '@samphiremill/common';
import {isAside} from './availability.js';
import type {
	DrainCandidate, FleetRecords, OrderHosts, WavesState,
} from './types.js';

/**
 * Takes the pools first whose budgets decide when the wave ends: those that need as many rounds as
 * the bound over all hosts does. Beyond that it stays in a rack and a data centre that are open
 * already, so that few failure domains are touched at once. It never waits for a rack to be done.
 *
 * @param input - The candidates and the committed state.
 * @returns The candidates, the first to be granted first.
 */
export const orderByFailureDomain: OrderHosts = ({candidates, control: {waves, records}}) => {
	const rounds = countRoundsPerPool(candidates, records);
	const opened = findActiveDomains(waves, records);
	const bound = Math.max(1, ...records.waves.map(({record}) => record.maximumHostsAside));
	const boundRounds = Math.ceil(candidates.length / bound);
	return candidates
		.map(candidate => ({candidate, rank: getRank(candidate)}))
		.toSorted((left, right) => compareRanks(left.rank, right.rank))
		.map(({candidate}) => candidate);

	function getRank({pool, worker, wave}: DrainCandidate): readonly string[] {
		return [
			(rounds.get(pool) ?? 0) >= boundRounds ? '0' : '1',
			opened.has(getRackKey(worker)) ? '0' : '1',
			opened.has(worker.dataCentre) ? '0' : '1',
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
 * Takes hosts in the order of their ids, whatever their pool and failure domain. A baseline.
 *
 * @param input - The candidates.
 * @returns The candidates in order of id.
 */
export const orderById: OrderHosts = ({candidates}) =>
	candidates.toSorted((left, right) => left.worker.id < right.worker.id ? -1 : 1);

/**
 * Allows one host of the whole fleet at a time, in order of id. A baseline.
 *
 * @param input - The candidates and the committed state.
 * @returns At most one candidate, and none while a host is aside.
 */
export const orderSingly: OrderHosts = input => {
	const isBusy = input.control.waves.waves.some(({hosts}) => hosts.some(host => isAside(host)));
	return isBusy ? [] : orderById(input).slice(0, 1);
};

/**
 * Opens a rack only when no host of another rack is aside. A baseline: each rack waits for its
 * slowest host.
 *
 * @param input - The candidates and the committed state.
 * @returns The candidates of the open rack, or of the first one where none is open.
 */
export const orderByWholeRack: OrderHosts = input => {
	const {waves, records} = input.control;
	const ordered = input.candidates.toSorted((left, right) =>
		getRackKey(left.worker) === getRackKey(right.worker)
			? compareText(left.worker.id, right.worker.id)
			: compareText(getRackKey(left.worker), getRackKey(right.worker)));
	const [first] = ordered;
	const opened = findActiveDomains(waves, records);
	return ordered.filter(({worker}) => opened.size === 0
		? first !== undefined && getRackKey(worker) === getRackKey(first.worker)
		: opened.has(getRackKey(worker)));
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
