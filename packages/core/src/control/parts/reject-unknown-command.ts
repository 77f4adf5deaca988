import type {ControlState, ControlStep} from '../types.js';

/**
 * Answers a command that no part takes. A replica older than the leader may meet one.
 *
 * @param state - The control state.
 * @param command - The command.
 * @returns The unchanged state and the refusal.
 */
export function rejectUnknownCommand(state: ControlState, command: {readonly type: string}): ControlStep {
	return {state, answer: {type: 'rejected', reason: 'unknownCommand', message: `no part takes ${command.type}`}};
}
