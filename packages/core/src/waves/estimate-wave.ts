import type {
	Finding, PoolId, WallClockMs, WaveId,
} from '@samphiremill/common';
import {getRemainingBudget, isAside} from './availability.js';
import {findWaveObstacles} from './find-wave-obstacles.js';
import type {
	FleetRecords, HostPhase, PauseReason, WaveHost, WavePhase, WavesConfig, WavesState, WaveState,
} from './types.js';
import {findWave} from './waves-state.js';

/** How far a wave has come, and when it can be expected to end. */
export type WaveProgress = {
	readonly wave: WaveId;
	readonly phase: WavePhase | 'notStarted';
	readonly pause?: PauseReason;
	readonly hosts: HostCounts;
	/** No order of hosts can end sooner than this after the start. */
	readonly lowerBoundMs: number;
	readonly expectedCycleMs: number;
	/** Absent while the wave does not advance. */
	readonly expectedEndAtMs?: number;
	/** What keeps the wave from advancing at this moment or for good. */
	readonly findings: readonly Finding[];
};

/** The hosts of a wave by where they stand. */
export type HostCounts = Readonly<Record<HostPhase, number>> & {readonly total: number};

/**
 * Estimates one wave from committed state alone.
 *
 * @param input - The wave, the committed state, the bounds and the time in milliseconds.
 * @returns The progress, or `undefined` where the wave has neither a record nor a state.
 */
export function estimateWave({wave, state, records, cfg, nowMs}: {
	wave: WaveId;
	state: WavesState;
	records: FleetRecords;
	cfg: WavesConfig;
	nowMs: WallClockMs;
}): WaveProgress | undefined {
	const record = records.waves.find(versioned => versioned.record.id === wave)?.record;
	const started = findWave(state, wave);
	if (record === undefined && started === undefined) {
		return undefined;
	}

	const hosts = started?.hosts ?? [];
	const expectedCycleMs = getMedianCycleMs(hosts) ?? cfg.expectedCycleMs;
	const bound = Math.min(record?.maximumHostsAside ?? 0, cfg.maximumHostsAsideFleetWide);
	const open = hosts.filter(host => host.phase === 'pending' || isAside(host));
	const findings = [
		...(record === undefined ? [] : findWaveObstacles({record, records, cfg})),
		...(started === undefined ? [] : findWaitReasons({started, state, records})),
	];
	const remainingMs = getLowerBoundMs({
		hosts: open, records, cycleMs: expectedCycleMs, maximumHostsAside: bound,
	});
	return {
		wave,
		phase: started?.phase ?? 'notStarted',
		...(started?.pause !== undefined && {pause: started.pause}),
		hosts: countHosts(hosts),
		lowerBoundMs: getLowerBoundMs({
			hosts, records, cycleMs: expectedCycleMs, maximumHostsAside: bound,
		}),
		expectedCycleMs,
		...(started?.phase === 'running' && Number.isFinite(remainingMs) && {expectedEndAtMs: nowMs + remainingMs}),
		findings,
	};
}

/**
 * Computes the least time in which hosts can be maintained: as many rounds as the tightest bound
 * asks for, each as long as one host is aside.
 *
 * @param input - The hosts, their pools' budgets, how long one host is aside in milliseconds, and
 *   the most hosts that may be aside at once.
 * @returns Milliseconds; infinite where a bound is 0.
 */
export function getLowerBoundMs({hosts, records, cycleMs, maximumHostsAside}: {
	hosts: ReadonlyArray<Pick<WaveHost, 'worker'>>;
	records: FleetRecords;
	cycleMs: number;
	maximumHostsAside: number;
}): number {
	if (hosts.length === 0) {
		return 0;
	}

	const owners = new Map(records.ownership.map(({worker, phase}) => [worker, phase.pool]));
	const counts = new Map<PoolId, number>();
	for (const {worker} of hosts) {
		const pool = owners.get(worker);
		if (pool !== undefined) {
			counts.set(pool, (counts.get(pool) ?? 0) + 1);
		}
	}

	const poolRounds = records.pools
		.filter(({id}) => counts.has(id))
		.map(({id, maximumUnavailableHosts}) => Math.ceil((counts.get(id) ?? 0) / maximumUnavailableHosts));
	return Math.max(Math.ceil(hosts.length / maximumHostsAside), ...poolRounds) * cycleMs;
}

function findWaitReasons({started, state, records}: {
	started: WaveState;
	state: WavesState;
	records: FleetRecords;
}): readonly Finding[] {
	const owners = new Map(records.ownership.map(({worker, phase}) => [worker, phase.pool]));
	const pending = started.hosts.filter(({phase}) => phase === 'pending').map(({worker}) => worker);
	const pools = new Set(pending.map(worker => owners.get(worker)));
	const down = state.unavailable.filter(({worker}) => pending.includes(worker));
	const overdrawn = records.pools
		.filter(({id}) => pools.has(id) && getRemainingBudget({pool: id, state, records}) < 0)
		.map(({id, maximumUnavailableHosts}) => ({
			path: '',
			message: `pool "${id}" has more hosts unavailable than the ${maximumUnavailableHosts} that it allows`,
		}));
	return [
		...overdrawn,
		...down.map(({worker, condition}) => ({path: '', message: `worker "${worker}" is ${condition} and waits for its return`})),
	];
}

function countHosts(hosts: readonly WaveHost[]): HostCounts {
	const counts = {
		total: hosts.length, pending: 0, granted: 0, draining: 0, rebooting: 0, returned: 0, failed: 0, removed: 0,
	};
	for (const {phase} of hosts) {
		counts[phase] += 1;
	}

	return counts;
}

function getMedianCycleMs(hosts: readonly WaveHost[]): number | undefined {
	const cycles = hosts
		.filter(({phase}) => phase === 'returned')
		.flatMap(({grantedAtMs, changedAtMs}) => grantedAtMs === undefined ? [] : [changedAtMs - grantedAtMs])
		.toSorted((left, right) => left - right);
	return cycles[Math.floor(cycles.length / 2)];
}
