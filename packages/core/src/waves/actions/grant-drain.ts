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
 * Grants the drain of a host. It checks every condition of the planner again, against the state that has
 * been committed since.
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

	const rejection = findRejection(input, wave);
	if (rejection !== undefined) {
		return createRejectedResult({state, ...rejection});
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
		return {reason: 'staleObservation', message: `the observations are at revision ${state.observationRevision}`};
	}

	if (state.unavailable.some(other => other.worker === worker)) {
		return {reason: 'hostUnavailable', message: `${worker} is down or unknown`};
	}

	const owner = records.ownership.find(other => other.worker === worker);
	if (owner?.phase.type !== 'member') {
		return {reason: 'hostMoving', message: `${worker} is moving between pools or has no pool`};
	}

	if (isHeldByOtherWave({state, command})) {
		return {reason: 'hostInOtherWave', message: `${worker} is aside or failed in another wave`};
	}

	const limit = records.waves.find(({record}) => record.id === wave.wave)?.record.maximumHostsAside ?? 0;
	if (getHostsAside({state, wave: wave.wave}).length >= limit) {
		return {reason: 'waveBoundReached', message: `wave ${wave.wave} may have at most ${limit} hosts aside`};
	}

	const maximumHostsAside = cfg.maximumHostsAsideFleetWide;
	if (getRemainingFleetAllowance({state, records, maximumHostsAside}) < 1) {
		return {reason: 'fleetBoundReached', message: `the fleet may have at most ${maximumHostsAside} hosts aside`};
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
