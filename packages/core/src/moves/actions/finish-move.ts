import {createAppliedMoveResult, createRejectedMoveResult} from '../move-answers.js';
import {getRequiredEntryHosts} from '../entry-hosts.js';
import {findMove, putMove, removeMove} from '../moves-state.js';
import type {
	AdoptCommand, CancelMoveCommand, HostMove, MoveCommandResult, MoveDrainedCommand, MoveInput,
} from '../types.js';

/**
 * Notes that nothing runs on the host any more. That counts only once no entry host can dispatch to
 * it under the old pool, since one that is late might have sent more work since.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the move drained.
 */
export function recordDrained(input: MoveInput<MoveDrainedCommand>): MoveCommandResult {
	const {state, command, context} = input;
	const move = findMove(state, command.worker);
	if (move?.epoch !== command.epoch) {
		return rejectStaleEpoch(input, move);
	}

	const settled = new Set([...command.acknowledgedBy, ...command.expired]);
	const missing = getRequiredEntryHosts({move, context}).filter(node => !settled.has(node));
	if (missing.length > 0) {
		return createRejectedMoveResult({state, reason: 'notAcknowledged', message: `${missing.join(', ')} may still dispatch to ${move.worker}`});
	}

	return createAppliedMoveResult({state: putMove(state, {...move, isDrained: true})});
}

/**
 * Gives a drained host to its new pool.
 *
 * @param input - The command and what it is checked against.
 * @returns The state without the move, and the new owner.
 */
export function adoptHost(input: MoveInput<AdoptCommand>): MoveCommandResult {
	const {state, command, context} = input;
	const {worker} = command;
	const move = findMove(state, worker);
	if (move?.epoch !== command.epoch) {
		return rejectStaleEpoch(input, move);
	}

	if (!move.isDrained) {
		return createRejectedMoveResult({state, reason: 'notDrained', message: `work still runs on ${worker}`});
	}

	if (!context.records.pools.some(({id}) => id === move.to)) {
		return createRejectedMoveResult({state, reason: 'unknownPool', message: `pool ${move.to} has no record`});
	}

	// A host that is down would count against the budget of a pool that has not been asked.
	if (context.waves.unavailable.some(other => other.worker === worker)) {
		return createRejectedMoveResult({state, reason: 'hostUnavailable', message: `${worker} is down or unknown`});
	}

	return createAppliedMoveResult({
		state: removeMove(state, worker),
		ownership: {worker, epoch: move.epoch + 1, phase: {type: 'member', pool: move.to}},
	});
}

/**
 * Gives a host back to its old pool. A move whose worker was deleted is dropped.
 *
 * @param input - The command and what it is checked against.
 * @returns The state without the move, and the old owner where the worker still has one.
 */
export function cancelMove(input: MoveInput<CancelMoveCommand>): MoveCommandResult {
	const {state, command: {worker, epoch}, context} = input;
	const move = findMove(state, worker);
	if (move?.epoch !== epoch) {
		return rejectStaleEpoch(input, move);
	}

	const owner = context.records.ownership.find(other => other.worker === worker);
	const isOurs = owner?.epoch === epoch && owner.phase.type === 'releasing';
	return createAppliedMoveResult({
		state: removeMove(state, worker),
		...(isOurs && {ownership: {worker, epoch: epoch + 1, phase: {type: 'member' as const, pool: move.from}}}),
	});
}

function rejectStaleEpoch({state, command}: MoveInput, move: HostMove | undefined): MoveCommandResult {
	return createRejectedMoveResult({
		state,
		reason: 'staleEpoch',
		message: move === undefined ? `${command.worker} is not moving` : `${command.worker} moves under epoch ${move.epoch}`,
	});
}
