import type {WaveId, WorkerId} from '@samphiremill/common';
import type {
	WaveAnswer, WaveCommandResult, WaveHost, WaveRejection, WavesState, WaveState,
} from './types.js';

/** @returns The state before the first wave, every host counted as up. */
export function createWavesState(): WavesState {
	return {waves: [], unavailable: [], observationRevision: 0};
}

/**
 * @param input - The state and one wave's next state.
 * @returns The state with that wave replaced.
 */
export function replaceWave({state, next}: {state: WavesState; next: WaveState}): WavesState {
	return {...state, waves: state.waves.map(wave => wave.wave === next.wave ? next : wave)};
}

/**
 * @param input - A wave and one host's next state.
 * @returns The wave with that host replaced.
 */
export function replaceHost({wave, next}: {wave: WaveState; next: WaveHost}): WaveState {
	return {...wave, hosts: wave.hosts.map(host => host.worker === next.worker ? next : host)};
}

/**
 * @param state - All waves.
 * @param wave - The wave to find.
 * @returns The wave, where it has been started.
 */
export function findWave(state: WavesState, wave: WaveId): WaveState | undefined {
	return state.waves.find(other => other.wave === wave);
}

/**
 * @param wave - One wave.
 * @param worker - The host to find.
 * @returns The host, where it belongs to the wave.
 */
export function findHost(wave: WaveState | undefined, worker: WorkerId): WaveHost | undefined {
	return wave?.hosts.find(host => host.worker === worker);
}

/**
 * @param state - The next state.
 * @returns The outcome of a command that took effect.
 */
export function createAppliedResult(state: WavesState): WaveCommandResult {
	return {state, answer: {type: 'applied'}};
}

/**
 * @param input - The state, which stays as it is, why the command had no effect, and the same for
 *   people, with the thing and the bound.
 * @returns The outcome of a command that had no effect.
 */
export function createRejectedResult({state, reason, message}: {
	state: WavesState;
	reason: WaveRejection;
	message: string;
}): WaveCommandResult {
	const answer: WaveAnswer = {type: 'rejected', reason, message};
	return {state, answer};
}
