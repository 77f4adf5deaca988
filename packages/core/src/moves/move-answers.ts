import type {MoveApplication, MoveRejection, MovesState} from './types.js';

/**
 * @param input - The state, which stays as it is, why the command had no effect, and the same for
 *   people.
 * @returns The outcome of a command that had no effect.
 */
export function createMoveRejected({state, reason, message}: {
	state: MovesState;
	reason: MoveRejection;
	message: string;
}): MoveApplication {
	return {state, answer: {type: 'rejected', reason, message}};
}

/**
 * @param outcome - The next state, and the owner that changed.
 * @returns The outcome of a command that took effect.
 */
export function createMoveApplied(outcome: Pick<MoveApplication, 'state' | 'ownership'>): MoveApplication {
	return {...outcome, answer: {type: 'applied'}};
}
