import type {ControlState, ControlStep} from '../types.js';

/**
 * Rejects a command of an unknown type and leaves the state unchanged. A replica that runs an older
 * version than the leader may receive such commands.
 */
export function rejectUnknownCommand(state: ControlState, command: {readonly type: string}): ControlStep {
	return {state, answer: {type: 'rejected', reason: 'unknownCommand', message: `unknown command ${command.type}`}};
}
