import type {WallClockMs} from '@samphiremill/common';
import {getNextWavePhase, getWaveEvent} from '../wave-machine.js';
import {completeWaveIfDone} from '../complete-wave-if-done.js';
import type {
	FollowRecordCommand, WaveCommandResult, WaveHost, WaveInput,
} from '../types.js';
import {
	createAppliedResult, createRejectedResult, findWave, replaceWave,
} from '../waves-state.js';

/**
 * Pauses, resumes or aborts a wave as its record requests. A wave that was paused because of failures
 * resumes only after an operator has written the record again.
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

/** Makes a host pending again if the platform refused its reboot, because it has not been maintained. */
function retryRefusedHost(host: WaveHost, atMs: WallClockMs): WaveHost {
	if (host.phase !== 'failed' || host.failure !== 'rebootRefused') {
		return host;
	}

	const {failure: _, ...rest} = host;
	return {...rest, phase: 'pending', changedAtMs: atMs};
}
