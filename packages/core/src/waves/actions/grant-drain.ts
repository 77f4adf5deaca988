import {
	getRemainingBudget, getRemainingFleetAllowance, getHostsAside, isAside,
} from '../availability.js';
import {getHostEvent, getNextHostPhase} from '../host-machine.js';
import type {
	GrantDrainCommand, WaveCommandResult, WaveInput, WaveRejection, WaveState,
} from '../types.js';
import {
	createAppliedResult, createRejectedResult, findHost, findWave, replaceHost, replaceWave,
} from '../waves-state.js';

/**
 * Gives a host its turn. Every condition that the planner checked is checked again here, against
 * what has been committed since.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the host granted.
 */
export function grantDrain(input: WaveInput<GrantDrainCommand>): WaveCommandResult {
	const {state, command} = input;
	const wave = findWave(state, command.wave);
	const host = findHost(wave, command.worker);
	if (wave === undefined || host === undefined) {
		return createRejectedResult({state, reason: 'unknownHost', message: `${command.worker} is not in wave ${command.wave}`});
	}

	const phase = getNextHostPhase({phase: host.phase, event: getHostEvent(command.type)});
	if (phase === undefined) {
		return createRejectedResult({state, reason: 'wrongPhase', message: `${host.worker} is ${host.phase}`});
	}

	const refusal = findRejection(input, wave);
	if (refusal !== undefined) {
		return createRejectedResult({state, ...refusal});
	}

	const next = {
		...host,
		phase,
		attempt: host.attempt + 1,
		changedAtMs: command.atMs,
		grantedAtMs: command.atMs,
	};
	return createAppliedResult(replaceWave({state, next: replaceHost({wave, next})}));
}

type Rejection = {readonly reason: WaveRejection; readonly message: string};

function findRejection({state, command, records, cfg}: WaveInput<GrantDrainCommand>, wave: WaveState): Rejection | undefined {
	const {worker} = command;
	if (wave.phase !== 'running') {
		return {reason: 'notRunning', message: `wave ${wave.wave} is ${wave.phase}`};
	}

	if (command.observationRevision !== state.observationRevision) {
		return {reason: 'staleObservation', message: `observations moved on to ${state.observationRevision}`};
	}

	if (state.unavailable.some(other => other.worker === worker)) {
		return {reason: 'hostUnavailable', message: `${worker} is down or unknown`};
	}

	const owner = records.ownership.find(other => other.worker === worker);
	if (owner?.phase.type !== 'member') {
		return {reason: 'hostMoving', message: `${worker} is not a settled member of a pool`};
	}

	if (isHeldByOtherWave({state, command})) {
		return {reason: 'hostInOtherWave', message: `${worker} is aside in another wave`};
	}

	const bound = records.waves.find(({record}) => record.id === wave.wave)?.record.maximumHostsAside ?? 0;
	if (getHostsAside({state, wave: wave.wave}).length >= bound) {
		return {reason: 'waveBoundReached', message: `wave ${wave.wave} may set ${bound} hosts aside`};
	}

	const maximumHostsAside = cfg.maximumHostsAsideFleetWide;
	if (getRemainingFleetAllowance({state, records, maximumHostsAside}) < 1) {
		return {reason: 'fleetBoundReached', message: `the fleet may set ${maximumHostsAside} hosts aside`};
	}

	if (getRemainingBudget({pool: owner.phase.pool, state, records}) < 1) {
		return {reason: 'budgetExceeded', message: `pool ${owner.phase.pool} has no budget left`};
	}

	return undefined;
}

function isHeldByOtherWave({state, command}: Pick<WaveInput<GrantDrainCommand>, 'state' | 'command'>): boolean {
	return state.waves.some(({wave, hosts}) => wave !== command.wave
		&& hosts.some(host => host.worker === command.worker && (isAside(host) || host.phase === 'failed')));
}
