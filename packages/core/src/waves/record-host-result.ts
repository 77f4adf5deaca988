import type {WorkerId} from '@samphiremill/common';
import type {
	FleetRecords, HostResult, PauseReason, WavesConfig, WaveState,
} from './types.js';
import {getNextWavePhase} from './wave-machine.js';

/**
 * Keeps one host's result, and pauses the wave where failures are too many among the latest ones.
 * The pause takes effect in the same command as the failure, so that no grant comes between.
 *
 * @param input - The wave, the result, and the bounds.
 * @returns The wave with the result, paused where the failures are correlated.
 */
export function recordHostResult({wave, result, records, cfg}: {
	wave: WaveState;
	result: HostResult;
	records: FleetRecords;
	cfg: WavesConfig;
}): WaveState {
	const recentResults = [...wave.recentResults, result].slice(-cfg.correlatedFailureWindow);
	const next = {...wave, recentResults};
	const failures = recentResults.filter(({isFailure}) => isFailure);
	if (failures.length < cfg.correlatedFailureCount) {
		return next;
	}

	const pause = createFailurePause(failures.map(({worker}) => worker), records);
	if (wave.pause?.type === 'correlatedFailure') {
		return {...next, pause};
	}

	const phase = getNextWavePhase({phase: wave.phase, event: {type: 'paused'}});
	return phase === undefined ? next : {...next, phase, pause};
}

function createFailurePause(workers: readonly WorkerId[], records: FleetRecords): PauseReason {
	const failed = records.workers.filter(({id}) => workers.includes(id));
	const racks = new Set(failed.map(({dataCentre, rack}) => `${dataCentre}/${rack}`));
	const dataCentres = new Set(failed.map(({dataCentre}) => dataCentre));
	const [first] = failed;
	return {
		type: 'correlatedFailure',
		workers: [...new Set(workers)].toSorted(),
		...(racks.size === 1 && first !== undefined && {rack: first.rack}),
		...(dataCentres.size === 1 && first !== undefined && {dataCentre: first.dataCentre}),
	};
}
