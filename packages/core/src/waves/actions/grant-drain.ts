import {
	getBudgetLeft, getFleetBoundLeft, getHostsAside, isAside,
} from '../availability.js';
import {getHostEvent, getNextHostPhase} from '../host-machine.js';
import type {
	GrantDrainCommand, WaveApplication, WaveInput, WaveRejection, WaveState,
} from '../types.js';
import {
	createApplied, createRejected, findHost, findWave, replaceHost, replaceWave,
} from '../waves-state.js';

/**
 * Gives a host its turn. Every condition that the planner checked is checked again here, against
 * what has been committed since.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the host granted.
 */
export function grantDrain(input: WaveInput<GrantDrainCommand>): WaveApplication {
	const {state, command} = input;
	const wave = findWave(state, command.wave);
	const host = findHost(wave, command.worker);
	if (wave === undefined || host === undefined) {
		return createRejected({state, reason: 'unknownHost', message: `${command.worker} is not in wave ${command.wave}`});
	}

	const phase = getNextHostPhase({phase: host.phase, event: getHostEvent(command.type)});
	if (phase === undefined) {
		return createRejected({state, reason: 'wrongPhase', message: `${host.worker} is ${host.phase}`});
	}

	const refusal = findRefusal(input, wave);
	if (refusal !== undefined) {
		return createRejected({state, ...refusal});
	}

	const next = {
		...host,
		phase,
		attempt: host.attempt + 1,
		changedAtMs: command.atMs,
		grantedAtMs: command.atMs,
	};
	return createApplied(replaceWave({state, next: replaceHost({wave, next})}));
}

type Refusal = {readonly reason: WaveRejection; readonly message: string};

function findRefusal({state, command, records, cfg}: WaveInput<GrantDrainCommand>, wave: WaveState): Refusal | undefined {
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
	if (getFleetBoundLeft({state, records, maximumHostsAside}) < 1) {
		return {reason: 'fleetBoundReached', message: `the fleet may set ${maximumHostsAside} hosts aside`};
	}

	if (getBudgetLeft({pool: owner.phase.pool, state, records}) < 1) {
		return {reason: 'budgetExceeded', message: `pool ${owner.phase.pool} has no budget left`};
	}

	return undefined;
}

function isHeldByOtherWave({state, command}: Pick<WaveInput<GrantDrainCommand>, 'state' | 'command'>): boolean {
	return state.waves.some(({wave, hosts}) => wave !== command.wave
		&& hosts.some(host => host.worker === command.worker && (isAside(host) || host.phase === 'failed')));
}
