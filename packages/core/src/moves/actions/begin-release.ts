import type {PoolId} from '@samphiremill/common';
import type {HostOwnership} from '../../control/types.js';
import {getRemainingBudget, getRemainingFleetAllowance, isAside} from '../../waves/availability.js';
import {createAppliedMoveResult, createRejectedMoveResult} from '../move-answers.js';
import {putMove} from '../moves-state.js';
import {getEntryHosts} from '../entry-hosts.js';
import type {
	BeginReleaseCommand, MoveCommandResult, MoveInput, MoveRejection,
} from '../types.js';

/**
 * Starts a move: from here on the host gets no new work, and counts as unavailable to its old pool.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the move, and the owner in its releasing phase.
 */
export function beginRelease({state, command, context}: MoveInput<BeginReleaseCommand>): MoveCommandResult {
	const {worker, to, reason, atMs} = command;
	const owner = context.records.ownership.find(other => other.worker === worker);
	const refusal = owner === undefined
		? {reason: 'unknownHost' as const, message: `${worker} has no owner`}
		: findRejection({owner, command, context});
	if (owner === undefined || refusal !== undefined) {
		return createRejectedMoveResult({state, ...(refusal ?? {reason: 'unknownHost', message: worker})});
	}

	const from = owner.phase.pool;
	const epoch = owner.epoch + 1;
	const entryHosts = getEntryHosts({worker, context});
	return createAppliedMoveResult({
		state: putMove(state, {
			worker, epoch, from, to, reason, isDrained: false, entryHosts, startedAtMs: atMs,
		}),
		ownership: {worker, epoch, phase: {type: 'releasing', pool: from, to}},
	});
}

type Rejection = {readonly reason: MoveRejection; readonly message: string};

function findRejection({owner, command, context}: {
	owner: HostOwnership;
	command: BeginReleaseCommand;
	context: MoveInput['context'];
}): Rejection | undefined {
	const {worker, to} = command;
	const {pool} = owner.phase;
	if (owner.phase.type === 'releasing') {
		return {reason: 'alreadyMoving', message: `${worker} is on its way to ${owner.phase.to}`};
	}

	if (owner.epoch !== command.expectedEpoch) {
		return {reason: 'staleEpoch', message: `${worker} is at epoch ${owner.epoch}`};
	}

	if (!context.records.pools.some(({id}) => id === to)) {
		return {reason: 'unknownPool', message: `pool ${to} has no record`};
	}

	if (pool === to) {
		return {reason: 'samePool', message: `${worker} is in pool ${to} already`};
	}

	return findAvailabilityRejection({command, context, pool});
}

function findAvailabilityRejection({command, context, pool}: {
	command: BeginReleaseCommand;
	context: MoveInput['context'];
	pool: PoolId;
}): Rejection | undefined {
	const {worker} = command;
	const {waves: state, records, maximumHostsAsideFleetWide: maximumHostsAside} = context;
	if (command.observationRevision !== state.observationRevision) {
		return {reason: 'staleObservation', message: `observations moved on to ${state.observationRevision}`};
	}

	if (state.unavailable.some(other => other.worker === worker)) {
		return {reason: 'hostUnavailable', message: `${worker} is down or unknown`};
	}

	const isHeld = state.waves.some(({hosts}) =>
		hosts.some(host => host.worker === worker && (isAside(host) || host.phase === 'failed')));
	if (isHeld) {
		return {reason: 'hostAside', message: `${worker} is aside in a wave`};
	}

	if (getRemainingBudget({pool, state, records}) < 1) {
		return {reason: 'budgetExceeded', message: `pool ${pool} has no budget left`};
	}

	if (getRemainingFleetAllowance({state, records, maximumHostsAside}) < 1) {
		return {reason: 'fleetBoundReached', message: `the fleet may set ${maximumHostsAside} hosts aside`};
	}

	return undefined;
}
