import type {WallClockMs} from '@samphiremill/common';
import {isAside} from './availability.js';
import type {WaveState} from './types.js';
import {getNextWavePhase} from './wave-machine.js';

/**
 * Ends a wave that has no work left: no host is pending or aside, or the wave is aborting and no host is
 * aside.
 *
 * @returns The ended wave, or the unchanged wave if it has work left.
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
