import {isAside} from '../availability.js';
import type {ForgetWaveCommand, WaveCommandResult, WaveInput} from '../types.js';
import {createAppliedResult, createRejectedResult, findWave} from '../waves-state.js';

/**
 * Drops a wave whose record was deleted.
 *
 * @param input - The command and what it is checked against.
 * @returns The state without the wave.
 */
export function forgetWave({state, command, records}: WaveInput<ForgetWaveCommand>): WaveCommandResult {
	const wave = findWave(state, command.wave);
	if (wave === undefined) {
		return createRejectedResult({state, reason: 'unknownWave', message: `wave ${command.wave} has not started`});
	}

	if (records.waves.some(({record}) => record.id === command.wave)) {
		return createRejectedResult({state, reason: 'staleRecord', message: `wave ${command.wave} has a record`});
	}

	if (wave.hosts.some(host => isAside(host))) {
		return createRejectedResult({state, reason: 'hostsAside', message: `wave ${command.wave} holds hosts aside`});
	}

	return createAppliedResult({...state, waves: state.waves.filter(other => other.wave !== command.wave)});
}
