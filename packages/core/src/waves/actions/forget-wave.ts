import {isAside} from '../availability.js';
import type {ForgetWaveCommand, WaveApplication, WaveInput} from '../types.js';
import {createApplied, createRejected, findWave} from '../waves-state.js';

/**
 * Drops a wave whose record was deleted.
 *
 * @param input - The command and what it is checked against.
 * @returns The state without the wave.
 */
export function forgetWave({state, command, records}: WaveInput<ForgetWaveCommand>): WaveApplication {
	const wave = findWave(state, command.wave);
	if (wave === undefined) {
		return createRejected({state, reason: 'unknownWave', message: `wave ${command.wave} has not started`});
	}

	if (records.waves.some(({record}) => record.id === command.wave)) {
		return createRejected({state, reason: 'staleRecord', message: `wave ${command.wave} has a record`});
	}

	if (wave.hosts.some(host => isAside(host))) {
		return createRejected({state, reason: 'hostsAside', message: `wave ${command.wave} holds hosts aside`});
	}

	return createApplied({...state, waves: state.waves.filter(other => other.wave !== command.wave)});
}
