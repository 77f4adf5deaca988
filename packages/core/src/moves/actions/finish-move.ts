import {createAppliedMoveResult, createRejectedMoveResult} from '../move-results.js';
import {getRequiredEntryHosts} from '../entry-hosts.js';
import {findMove, putMove, removeMove} from '../moves-state.js';
import type {
	AdoptCommand, CancelMoveCommand, HostMove, MoveCommandResult, MoveDrainedCommand, MoveInput,
} from '../types.js';

/**
 * Records that no task runs on the host any more. It rejects the command while an entry host may still
 * dispatch to the host under the old pool, because such an entry host might have sent more work.
 */
export function recordDrained(input: MoveInput<MoveDrainedCommand>): MoveCommandResult {
	const {state, command, context} = input;
	const move = findMove(state, command.worker);
	if (move?.epoch !== command.epoch) {
		return rejectStaleEpoch(input, move);
	}

	const confirmed = new Set([...command.acknowledgedBy, ...command.expired]);
	const missing = getRequiredEntryHosts({move, context}).filter(node => !confirmed.has(node));
	if (missing.length > 0) {
		return createRejectedMoveResult({state, reason: 'notAcknowledged', message: `${missing.join(', ')} may still dispatch to ${move.worker}`});
	}

	return createAppliedMoveResult({state: putMove(state, {...move, isDrained: true})});
}

/**
 * Makes a drained host a member of its new pool and ends the move.
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

	// A host that is down would reduce the budget of the new pool, which was not checked.
	if (context.waves.unavailable.some(other => other.worker === worker)) {
		return createRejectedMoveResult({state, reason: 'hostUnavailable', message: `${worker} is down or unknown`});
	}

	return createAppliedMoveResult({
		state: removeMove(state, worker),
		ownership: {worker, epoch: move.epoch + 1, phase: {type: 'member', pool: move.to}},
	});
}

/**
 * Cancels a move and returns the host to its old pool. If the worker was deleted, the move is only removed.
 */
export function cancelMove(input: MoveInput<CancelMoveCommand>): MoveCommandResult {
	const {state, command: {worker, epoch}, context} = input;
	const move = findMove(state, worker);
	if (move?.epoch !== epoch) {
		return rejectStaleEpoch(input, move);
	}

	const owner = context.records.ownership.find(other => other.worker === worker);
	const isStillReleasing = owner?.epoch === epoch && owner.phase.type === 'releasing';
	return createAppliedMoveResult({
		state: removeMove(state, worker),
		...(isStillReleasing && {ownership: {worker, epoch: epoch + 1, phase: {type: 'member' as const, pool: move.from}}}),
	});
}

function rejectStaleEpoch({state, command}: MoveInput, move: HostMove | undefined): MoveCommandResult {
	return createRejectedMoveResult({
		state,
		reason: 'staleEpoch',
		message: move === undefined ? `${command.worker} is not moving` : `${command.worker} moves under epoch ${move.epoch}`,
	});
}
