import {beginRelease} from './actions/begin-release.js';
import {adoptHost, cancelMove, recordDrained} from './actions/finish-move.js';
import type {MoveCommandResult, MoveInput} from './types.js';

/**
 * Applies one committed command. The outcome depends on nothing but the input.
 *
 * @param input - The state, the command, and what its conditions are checked against.
 * @returns The next state, the owner that changed, and the answer; a rejected command changes nothing.
 */
export function applyMoveCommand(input: MoveInput): MoveCommandResult {
	const {command} = input;
	switch (command.type) {
		case 'moves/beginRelease': {
			return beginRelease({...input, command});
		}

		case 'moves/hostDrained': {
			return recordDrained({...input, command});
		}

		case 'moves/adopt': {
			return adoptHost({...input, command});
		}

		case 'moves/cancel': {
			return cancelMove({...input, command});
		}
	}
}
