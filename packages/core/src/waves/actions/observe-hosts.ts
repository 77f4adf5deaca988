import type {WallClockMs, WorkerId} from '@samphiremill/common';
import {getHostsAside} from '../availability.js';
import {recordHostResult} from '../record-host-result.js';
import type {
	ObservedHost, ObserveHostsCommand, UnavailableHost, WaveCommandResult, WaveInput, WavesState, WaveState,
} from '../types.js';
import {createAppliedResult, replaceHost} from '../waves-state.js';

/**
 * Commits which hosts are down or unknown. A host that goes silent soon after a wave returned it
 * counts as failed by that wave.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the observations and the waves that they pause.
 */
export function observeHosts({state, command, records, cfg}: WaveInput<ObserveHostsCommand>): WaveCommandResult {
	const unavailable = mergeConditions(state.unavailable, command.conditions);
	const known = new Set(state.unavailable.map(({worker}) => worker));
	// A reboot that another wave asked for is no relapse.
	const aside = new Set(getHostsAside({state}));
	const newlySilent = command.conditions
		.filter(({worker, condition}) => condition === 'silent' && !known.has(worker) && !aside.has(worker))
		.map(({worker}) => worker);
	const context = {atMs: command.atMs, newlySilent: new Set(newlySilent)};
	const waves = state.waves.map(wave => failRelapsedHosts(wave, context));
	return createAppliedResult({
		...state, waves, unavailable, observationRevision: state.observationRevision + 1,
	});

	function failRelapsedHosts(wave: WaveState, {atMs, newlySilent}: RelapseContext): WaveState {
		if (wave.phase !== 'running' && wave.phase !== 'paused') {
			return wave;
		}

		const relapsed = wave.hosts.filter(host => host.phase === 'returned'
			&& newlySilent.has(host.worker)
			&& atMs - host.changedAtMs < cfg.soakMs);
		let next = wave;
		for (const host of relapsed) {
			next = recordHostResult({
				wave: replaceHost({
					wave: next, next: {
						...host, phase: 'failed', failure: 'relapsed', changedAtMs: atMs,
					},
				}),
				result: {worker: host.worker, isFailure: true},
				records,
				cfg,
			});
		}

		return next;
	}
}

type RelapseContext = {
	readonly atMs: WallClockMs;
	readonly newlySilent: ReadonlySet<WorkerId>;
};

function mergeConditions(
	unavailable: WavesState['unavailable'],
	conditions: readonly ObservedHost[],
): readonly UnavailableHost[] {
	const changed = new Set(conditions.map(({worker}) => worker));
	const added = conditions.flatMap(({worker, condition}): UnavailableHost[] =>
		condition === 'up' ? [] : [{worker, condition}]);
	return [...unavailable.filter(({worker}) => !changed.has(worker)), ...added]
		.toSorted((left, right) => left.worker < right.worker ? -1 : 1);
}
