import type {WorkerId} from '@samphiremill/common';
import {getPoolHosts} from '../availability.js';
import {findWaveObstacles} from '../find-wave-obstacles.js';
import type {
	FleetRecords, StartWaveCommand, VersionedWave, WaveCommandResult, WaveHost, WaveInput,
} from '../types.js';
import {createAppliedResult, createRejectedResult, findWave} from '../waves-state.js';

/**
 * Starts a wave and fixes its hosts, so that a host which changes pools meanwhile is neither
 * skipped nor maintained twice.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the wave running.
 */
export function startWave({state, command, records, cfg}: WaveInput<StartWaveCommand>): WaveCommandResult {
	const {wave, atMs} = command;
	if (findWave(state, wave) !== undefined) {
		return createRejectedResult({state, reason: 'alreadyStarted', message: `wave ${wave} has started already`});
	}

	const versioned = records.waves.find(({record}) => record.id === wave);
	if (versioned === undefined) {
		return createRejectedResult({state, reason: 'unknownWave', message: `wave ${wave} has no record`});
	}

	const obstacles = findWaveObstacles({record: versioned.record, records, cfg});
	if (versioned.record.desired !== 'running' || obstacles.length > 0) {
		return createRejectedResult({
			state,
			reason: 'notStartable',
			message: obstacles[0]?.message ?? `wave ${wave} is to be ${versioned.record.desired}`,
		});
	}

	const hosts = getWaveWorkers({wave: versioned, records})
		.map((worker): WaveHost => ({
			worker, phase: 'pending', attempt: 0, changedAtMs: atMs, isRebootAccepted: false,
		}));
	const waves = [...state.waves, {
		wave, phase: 'running' as const, startedAtMs: atMs, recordRevision: versioned.revision, hosts, recentResults: [],
	}];
	return createAppliedResult({...state, waves: waves.toSorted((left, right) => left.wave < right.wave ? -1 : 1)});
}

function getWaveWorkers({wave, records}: {wave: VersionedWave; records: FleetRecords}): readonly WorkerId[] {
	const {pools, workers} = wave.record;
	const members = workers ?? pools.flatMap(pool => getPoolHosts({pool, ownership: records.ownership}));
	return [...new Set(members)].toSorted();
}
