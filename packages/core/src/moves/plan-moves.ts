import {planNewMoves} from './plan-new-moves.js';
import {planMoveSteps} from './plan-move-steps.js';
import type {MoveCommand, PlanMovesInput} from './types.js';

/**
 * Plans the commands that the leader proposes next for moves: first the next step of each move in progress,
 * then new moves within the limits.
 *
 * Only a leader with a fresh quorum may call this function. Each command is checked again when it is applied.
 *
 * @param input - Contains the committed state, and the demand, the platform and the entry hosts as the leader
 *   observes them.
 * @returns The commands, to be proposed in this order.
 */
export function planMoves(input: PlanMovesInput): readonly MoveCommand[] {
	const steps = planMoveSteps(input);
	const newMoves = planNewMoves(input);
	return [...steps, ...newMoves];
}
