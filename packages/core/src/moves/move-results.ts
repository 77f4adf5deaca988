import type {MoveCommandResult, MoveRejection, MovesState} from './types.js';

/**
 * Creates the result of a rejected command, which leaves the state unchanged.
 *
 * @param input - `message` explains the reason to people.
 */
export function createRejectedMoveResult({state, reason, message}: {
	state: MovesState;
	reason: MoveRejection;
	message: string;
}): MoveCommandResult {
	return {state, answer: {type: 'rejected', reason, message}};
}

/** Creates the result of a command that was applied. */
export function createAppliedMoveResult(outcome: Pick<MoveCommandResult, 'state' | 'ownership'>): MoveCommandResult {
	return {...outcome, answer: {type: 'applied'}};
}
