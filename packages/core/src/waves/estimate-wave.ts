import type {
	Finding, PoolId, WallClockMs, WaveId,
} from '@samphiremill/common';
import {getRemainingBudget, isAside} from './availability.js';
import {findWaveObstacles} from './find-wave-obstacles.js';
import type {
	FleetRecords, HostPhase, PauseReason, WaveHost, WavePhase, WavesConfig, WavesState, WaveState,
} from './types.js';
import {findWave} from './waves-state.js';

/** The progress of a wave, and when it is expected to end. */
export type WaveProgress = {
	readonly wave: WaveId;
	readonly phase: WavePhase | 'notStarted';
	readonly pause?: PauseReason;
	readonly hosts: HostCounts;
	/** The minimum duration of the wave for any order of its hosts. */
	readonly lowerBoundMs: number;
	readonly expectedCycleMs: number;
	/** Absent while the wave does not make progress. */
	readonly expectedEndAtMs?: number;
	/** What prevents the progress of the wave, now or permanently. */
	readonly findings: readonly Finding[];
};

/** The number of hosts of a wave by phase. */
export type HostCounts = Readonly<Record<HostPhase, number>> & {readonly total: number};

/**
 * Estimates the progress of a wave from committed state alone.
 *
 * @returns The progress; `undefined` when the wave has neither a record nor a state.
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
	const limit = Math.min(record?.maximumHostsAside ?? 0, cfg.maximumHostsAsideFleetWide);
	const open = hosts.filter(host => host.phase === 'pending' || isAside(host));
	const findings = [
		...(record === undefined ? [] : findWaveObstacles({record, records, cfg})),
		...(started === undefined ? [] : findWaitReasons({started, state, records})),
	];
	const remainingMs = getLowerBoundMs({
		hosts: open, records, cycleMs: expectedCycleMs, maximumHostsAside: limit,
	});
	return {
		wave,
		phase: started?.phase ?? 'notStarted',
		...(started?.pause !== undefined && {pause: started.pause}),
		hosts: countHosts(hosts),
		lowerBoundMs: getLowerBoundMs({
			hosts, records, cycleMs: expectedCycleMs, maximumHostsAside: limit,
		}),
		expectedCycleMs,
		...(started?.phase === 'running' && Number.isFinite(remainingMs) && {expectedEndAtMs: nowMs + remainingMs}),
		findings,
	};
}

/**
 * Computes the minimum time in which the hosts can be maintained. The tightest limit determines the number of
 * rounds; each round takes as long as one host is aside.
 *
 * @param input - `cycleMs` is how long one host is aside; `maximumHostsAside` is how many may be aside at once.
 * @returns Milliseconds; infinite when a limit is 0.
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
	const overBudget = records.pools
		.filter(({id}) => pools.has(id) && getRemainingBudget({pool: id, state, records}) < 0)
		.map(({id, maximumUnavailableHosts}) => ({
			path: '',
			message: `pool "${id}" has more hosts unavailable than the ${maximumUnavailableHosts} that it allows`,
		}));
	return [
		...overBudget,
		...down.map(({worker, condition}) => ({path: '', message: `worker "${worker}" is ${condition}; the wave waits until it is up`})),
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
