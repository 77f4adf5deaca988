import {advanceHost} from './actions/advance-host.js';
import {followRecord} from './actions/follow-record.js';
import {forgetWave} from './actions/forget-wave.js';
import {grantDrain} from './actions/grant-drain.js';
import {observeHosts} from './actions/observe-hosts.js';
import {startWave} from './actions/start-wave.js';
import type {WaveCommandResult, WaveInput} from './types.js';

/**
 * Applies one committed command. The outcome depends on nothing but the input, so that every
 * replica comes to the same state.
 *
 * @param input - The state, the command, the records at this point of the log, and the bounds.
 * @returns The next state and the answer; a rejected command leaves the state as it is.
 */
export function applyWaveCommand(input: WaveInput): WaveCommandResult {
	const {command} = input;
	switch (command.type) {
		case 'waves/start': {
			return startWave({...input, command});
		}

		case 'waves/observeHosts': {
			return observeHosts({...input, command});
		}

		case 'waves/grantDrain': {
			return grantDrain({...input, command});
		}

		case 'waves/revokeGrant':
		case 'waves/hostDraining':
		case 'waves/recallDrain':
		case 'waves/hostDrained':
		case 'waves/hostRebooting':
		case 'waves/hostReturned':
		case 'waves/hostFailed':
		case 'waves/hostRemoved': {
			return advanceHost({...input, command});
		}

		case 'waves/pause':
		case 'waves/resume':
		case 'waves/abort': {
			return followRecord({...input, command});
		}

		case 'waves/forget': {
			return forgetWave({...input, command});
		}
	}
}
