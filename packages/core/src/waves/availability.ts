/**
 * The unavailable hosts, and what remains of the budgets and limits. All functions read committed state
 * alone, so that every replica that applies a command gets the same result.
 */
import type {PoolId, WaveId, WorkerId} from '@samphiremill/common';
import type {FleetRecords, WaveHost, WavesState} from './types.js';

const asidePhases: ReadonlySet<WaveHost['phase']> = new Set(['granted', 'draining', 'rebooting']);

/** Checks whether the wave has set the host aside, which means taken it out of service for its maintenance. */
export function isAside(host: WaveHost): boolean {
	return asidePhases.has(host.phase);
}

/**
 * Checks whether the platform is to reboot the host, once for its attempt. This includes a host whose reboot
 * timed out: the reboot may never have been requested if the platform was unreachable, and the host cannot
 * return without it.
 */
export function needsReboot({phase, failure}: WaveHost): boolean {
	return phase === 'rebooting' || (phase === 'failed' && failure === 'rebootTimeout');
}

/**
 * Lists the hosts that waves have set aside.
 *
 * @param input - `wave` restricts the list to one wave.
 */
export function getHostsAside({state, wave}: {state: WavesState; wave?: WaveId}): readonly WorkerId[] {
	return state.waves
		.filter(other => wave === undefined || other.wave === wave)
		.flatMap(({hosts}) => hosts.filter(host => isAside(host)).map(({worker}) => worker));
}

/**
 * Collects the unavailable hosts of the whole fleet. A host is unavailable if it is not certain to serve its
 * pool: it is down, unknown, aside or failed in a wave, or moving to another pool.
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

/** Lists the hosts that are being released to another pool. */
export function getMovingHosts({ownership}: Pick<FleetRecords, 'ownership'>): readonly WorkerId[] {
	return ownership.filter(({phase}) => phase.type === 'releasing').map(({worker}) => worker);
}

/** Lists the hosts that the pool owns, including those that are being released. */
export function getPoolHosts({pool, ownership}: {pool: PoolId} & Pick<FleetRecords, 'ownership'>): readonly WorkerId[] {
	return ownership.filter(({phase}) => phase.pool === pool).map(({worker}) => worker);
}

/**
 * Computes how many more hosts of the pool may become unavailable.
 *
 * @returns The number of hosts; negative when failures have exceeded the budget, 0 when the pool has no
 *   record.
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
 * Computes how many more hosts waves and moves together may set aside.
 *
 * @param input - `maximumHostsAside` is the limit for the whole fleet.
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
 * Lists the pools of which at least one more host may become unavailable. It evaluates all pools in one pass,
 * by the rule of `getRemainingBudget`.
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
