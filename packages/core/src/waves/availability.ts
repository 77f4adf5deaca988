/**
 * Which hosts count as unavailable, from committed state alone, so that every replica that applies
 * a command comes to the same verdict.
 */
import type {PoolId, WaveId, WorkerId} from '@samphiremill/common';
import type {FleetRecords, WaveHost, WavesState} from './types.js';

const asidePhases: ReadonlySet<WaveHost['phase']> = new Set(['granted', 'draining', 'rebooting']);

/**
 * @param host - One host of a wave.
 * @returns Whether the wave holds the host aside at this moment.
 */
export function isAside(host: WaveHost): boolean {
	return asidePhases.has(host.phase);
}

/**
 * A host whose reboot took too long may never have been asked for it, where the platform was out of
 * reach, and comes back in no other way.
 *
 * @param host - One host of a wave.
 * @returns Whether the platform is to reboot the host, once for its attempt.
 */
export function needsReboot({phase, failure}: WaveHost): boolean {
	return phase === 'rebooting' || (phase === 'failed' && failure === 'rebootTimeout');
}

/**
 * @param input - The waves; with `wave`, only that one is read.
 * @returns The hosts that waves hold aside.
 */
export function getHostsAside({state, wave}: {state: WavesState; wave?: WaveId}): readonly WorkerId[] {
	return state.waves
		.filter(other => wave === undefined || other.wave === wave)
		.flatMap(({hosts}) => hosts.filter(host => isAside(host)).map(({worker}) => worker));
}

/**
 * Collects every host that does not serve its pool for certain: down, unknown or cut off, held
 * aside or failed within a wave, or on the move.
 *
 * @param input - The committed waves and records.
 * @returns The unavailable hosts of the whole fleet.
 */
export function getUnavailableHosts({state, records}: {
	state: WavesState;
	records: Pick<FleetRecords, 'ownership'>;
}): ReadonlySet<WorkerId> {
	const failed = state.waves.flatMap(({hosts}) => hosts.filter(({phase}) => phase === 'failed'));
	return new Set([
		...state.unavailable.map(({worker}) => worker),
		...getHostsAside({state}),
		...failed.map(({worker}) => worker),
		...getMovingHosts(records),
	]);
}

/**
 * @param records - The committed owners of hosts.
 * @returns The hosts that are being released to another pool.
 */
export function getMovingHosts({ownership}: Pick<FleetRecords, 'ownership'>): readonly WorkerId[] {
	return ownership.filter(({phase}) => phase.type === 'releasing').map(({worker}) => worker);
}

/**
 * @param input - The pool, and the committed owners of hosts.
 * @returns The hosts that the pool owns, those being released included.
 */
export function getPoolHosts({pool, ownership}: {pool: PoolId} & Pick<FleetRecords, 'ownership'>): readonly WorkerId[] {
	return ownership.filter(({phase}) => phase.pool === pool).map(({worker}) => worker);
}

/**
 * @param input - The pool and the committed state.
 * @returns How many more hosts of the pool may become unavailable; negative where failures alone
 *   have overdrawn the budget, 0 where the pool has no record.
 */
export function getRemainingBudget({pool, state, records}: {
	pool: PoolId;
	state: WavesState;
	records: FleetRecords;
}): number {
	const record = records.pools.find(({id}) => id === pool);
	if (record === undefined) {
		return 0;
	}

	const unavailable = getUnavailableHosts({state, records});
	const hosts = getPoolHosts({pool, ownership: records.ownership});
	return record.maximumUnavailableHosts - hosts.filter(worker => unavailable.has(worker)).length;
}

/**
 * @param input - The committed state and the bound over the whole fleet.
 * @returns How many more hosts may be set aside by waves and moves together.
 */
export function getRemainingFleetAllowance({state, records, maximumHostsAside}: {
	state: WavesState;
	records: Pick<FleetRecords, 'ownership'>;
	maximumHostsAside: number;
}): number {
	const aside = new Set([...getHostsAside({state}), ...getMovingHosts(records)]);
	return maximumHostsAside - aside.size;
}

/**
 * Does for all pools in one pass what `getBudgetLeft` does for one.
 *
 * @param input - The committed state.
 * @returns The pools of which at least one more host may become unavailable.
 */
export function listPoolsWithBudget({state, records}: {
	state: WavesState;
	records: FleetRecords;
}): ReadonlySet<PoolId> {
	const unavailable = getUnavailableHosts({state, records});
	const counts = new Map<PoolId, number>();
	for (const {worker, phase} of records.ownership) {
		if (unavailable.has(worker)) {
			counts.set(phase.pool, (counts.get(phase.pool) ?? 0) + 1);
		}
	}

	return new Set(records.pools
		.filter(({id, maximumUnavailableHosts}) => (counts.get(id) ?? 0) < maximumUnavailableHosts)
		.map(({id}) => id));
}
