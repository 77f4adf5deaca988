import type {WallClockMs} from '@samphiremill/common';
import {isAside} from './availability.js';
import type {WaveState} from './types.js';
import {getNextWavePhase} from './wave-machine.js';

/**
 * Ends a wave that has nothing left to do: every host had its turn, or an aborted wave holds no
 * host aside any more.
 *
 * @param input - The wave and the time of the command.
 * @returns The wave, ended where it is done.
 */
export function completeWaveIfDone({wave, atMs}: {wave: WaveState; atMs: WallClockMs}): WaveState {
	const isOpen = wave.phase === 'aborting'
		? wave.hosts.some(host => isAside(host))
		: wave.hosts.some(host => host.phase === 'pending' || isAside(host));
	if (isOpen) {
		return wave;
	}

	const phase = getNextWavePhase({phase: wave.phase, event: {type: 'settled'}});
	return phase === undefined ? wave : {...wave, phase, endedAtMs: atMs};
}
