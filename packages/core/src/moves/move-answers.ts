import type {MoveCommandResult, MoveRejection, MovesState} from './types.js';

/**
 * @param input - The state, which stays as it is, why the command had no effect, and the same for
 *   people.
 * @returns The outcome of a command that had no effect.
 */
export function createRejectedMoveResult({state, reason, message}: {
	state: MovesState;
	reason: MoveRejection;
	message: string;
}): MoveCommandResult {
	return {state, answer: {type: 'rejected', reason, message}};
}

/**
 * @param outcome - The next state, and the owner that changed.
 * @returns The outcome of a command that took effect.
 */
export function createAppliedMoveResult(outcome: Pick<MoveCommandResult, 'state' | 'ownership'>): MoveCommandResult {
	return {...outcome, answer: {type: 'applied'}};
}
