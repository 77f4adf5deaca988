import type {WallClockMs} from '@samphiremill/common';
import {getNextWavePhase, getWaveEvent} from '../wave-machine.js';
import {completeWaveIfDone} from '../settle-wave.js';
import type {
	FollowRecordCommand, WaveCommandResult, WaveHost, WaveInput,
} from '../types.js';
import {
	createAppliedResult, createRejectedResult, findWave, replaceWave,
} from '../waves-state.js';

/**
 * Makes a wave follow what its record asks for. A wave that paused over failures goes on only when
 * an operator writes the record again.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the wave paused, resumed or aborting.
 */
export function followRecord({state, command, records}: WaveInput<FollowRecordCommand>): WaveCommandResult {
	const wave = findWave(state, command.wave);
	if (wave === undefined) {
		return createRejectedResult({state, reason: 'unknownWave', message: `wave ${command.wave} has not started`});
	}

	const revision = records.waves.find(({record}) => record.id === wave.wave)?.revision;
	const isStale = revision !== undefined && revision !== command.recordRevision;
	if (isStale || command.recordRevision < wave.recordRevision) {
		return createRejectedResult({state, reason: 'staleRecord', message: `the record is at revision ${revision ?? '-'}`});
	}

	const phase = getNextWavePhase({phase: wave.phase, event: getWaveEvent(command.type)});
	if (phase === undefined) {
		return createRejectedResult({state, reason: 'wrongPhase', message: `wave ${wave.wave} is ${wave.phase}`});
	}

	const {pause: _, ...rest} = wave;
	const next = {
		...rest,
		hosts: command.type === 'waves/resume' ? wave.hosts.map(host => retryRefusedHost(host, command.atMs)) : wave.hosts,
		phase,
		recordRevision: command.recordRevision,
		recentResults: [],
		...(phase === 'paused' && {pause: {type: 'operator' as const}}),
	};
	return createAppliedResult(replaceWave({state, next: completeWaveIfDone({wave: next, atMs: command.atMs})}));
}

/** A host whose reboot the platform refused has not been maintained, so it gets another turn. */
function retryRefusedHost(host: WaveHost, atMs: WallClockMs): WaveHost {
	if (host.phase !== 'failed' || host.failure !== 'rebootRefused') {
		return host;
	}

	const {failure: _, ...rest} = host;
	return {...rest, phase: 'pending', changedAtMs: atMs};
}
