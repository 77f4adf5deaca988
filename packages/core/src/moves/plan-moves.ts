import {planNewMoves} from './plan-loans.js';
import {planMoveSteps} from './plan-move-steps.js';
import type {MoveCommand, PlanMovesInput} from './types.js';

/**
 * Plans what the leader proposes next for moves: the next step of each host that is on its way,
 * then new moves as far as the bounds allow.
 *
 * Only a leader with a fresh quorum may run this; each command is checked again when it is applied.
 *
 * @param input - The committed state, and what the leader sees of demand, platform and entry hosts.
 * @returns The commands to propose, in this order.
 */
export function planMoves(input: PlanMovesInput): readonly MoveCommand[] {
	const steps = planMoveSteps(input);
	const begun = planNewMoves(input);
	return [...steps, ...begun];
}
