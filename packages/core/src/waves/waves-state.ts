import type {WaveId, WorkerId} from '@samphiremill/common';
import type {
	WaveAnswer, WaveCommandResult, WaveHost, WaveRejection, WavesState, WaveState,
} from './types.js';

/** Creates the state before the first wave, with every host counted as up. */
export function createWavesState(): WavesState {
	return {waves: [], unavailable: [], observationRevision: 0};
}

/** Replaces the wave that has the id of `next`. */
export function replaceWave({state, next}: {state: WavesState; next: WaveState}): WavesState {
	return {...state, waves: state.waves.map(wave => wave.wave === next.wave ? next : wave)};
}

/** Replaces the host of a wave that has the id of `next`. */
export function replaceHost({wave, next}: {wave: WaveState; next: WaveHost}): WaveState {
	return {...wave, hosts: wave.hosts.map(host => host.worker === next.worker ? next : host)};
}

/**
 * Finds a wave by its id.
 *
 * @returns The wave; `undefined` when it has not been started.
 */
export function findWave(state: WavesState, wave: WaveId): WaveState | undefined {
	return state.waves.find(other => other.wave === wave);
}

/**
 * Finds a host of a wave.
 *
 * @returns The host; `undefined` when it does not belong to the wave.
 */
export function findHost(wave: WaveState | undefined, worker: WorkerId): WaveHost | undefined {
	return wave?.hosts.find(host => host.worker === worker);
}

/** Creates the result of a command that was applied. */
export function createAppliedResult(state: WavesState): WaveCommandResult {
	return {state, answer: {type: 'applied'}};
}

/**
 * Creates the result of a rejected command, which leaves the state unchanged.
 *
 * @param input - `message` explains the reason to people: it names the object and the limit.
 */
export function createRejectedResult({state, reason, message}: {
	state: WavesState;
	reason: WaveRejection;
	message: string;
}): WaveCommandResult {
	const answer: WaveAnswer = {type: 'rejected', reason, message};
	return {state, answer};
}
