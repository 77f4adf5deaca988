import {getRemainingBudget} from '../availability.js';
import {getHostEvent, getNextHostPhase, type HostCommand} from '../host-machine.js';
import {recordHostResult} from '../record-host-result.js';
import {completeWaveIfDone} from '../settle-wave.js';
import type {
	AdvanceHostCommand, GrantDrainCommand, WaveCommandResult, WaveHost, WaveInput,
} from '../types.js';
import {
	createAppliedResult, createRejectedResult, findHost, findWave, replaceHost, replaceWave,
} from '../waves-state.js';

type NonGrantHostCommand = Exclude<HostCommand, GrantDrainCommand>;

/**
 * Moves one host of a wave on. A command for an earlier grant of the host has no effect.
 *
 * @param input - The command and what it is checked against.
 * @returns The state with the host, and with its wave's phase, moved on.
 */
export function advanceHost(input: WaveInput<NonGrantHostCommand>): WaveCommandResult {
	const {state, command, records, cfg} = input;
	const wave = findWave(state, command.wave);
	const host = findHost(wave, command.worker);
	if (wave === undefined || host === undefined) {
		return createRejectedResult({state, reason: 'unknownHost', message: `${command.worker} is not in wave ${command.wave}`});
	}

	if ('attempt' in command && command.attempt !== host.attempt) {
		return createRejectedResult({state, reason: 'staleAttempt', message: `${host.worker} is at attempt ${host.attempt}`});
	}

	const phase = getNextHostPhase({phase: host.phase, event: getHostEvent(command.type)});
	if (phase === undefined) {
		return createRejectedResult({state, reason: 'wrongPhase', message: `${host.worker} is ${host.phase}`});
	}

	if (command.type === 'waves/hostDraining' || command.type === 'waves/hostDrained') {
		const refusal = findStepRejection({...input, command}, wave.phase);
		if (refusal !== undefined) {
			return refusal;
		}
	}

	const next = replaceHost({wave, next: createNextHost({host, phase, command})});
	const result = getHostOutcome(command);
	const recorded = result === undefined
		? next
		: recordHostResult({
			wave: next, result: {worker: host.worker, isFailure: result === 'failure'}, records, cfg,
		});
	return createAppliedResult(replaceWave({state, next: completeWaveIfDone({wave: recorded, atMs: command.atMs})}));
}

/** No host is drained or rebooted once its wave stopped, or once failures have overdrawn the budget. */
function findStepRejection(
	{state, command, records}: WaveInput<AdvanceHostCommand>,
	wavePhase: string,
): WaveCommandResult | undefined {
	if (wavePhase !== 'running') {
		return createRejectedResult({state, reason: 'notRunning', message: `wave ${command.wave} is ${wavePhase}`});
	}

	const pool = records.ownership.find(({worker}) => worker === command.worker)?.phase.pool;
	// The host counts as unavailable since its grant, so what is left may be 0 but not less.
	if (pool === undefined || getRemainingBudget({pool, state, records}) < 0) {
		return createRejectedResult({state, reason: 'budgetExceeded', message: `pool ${pool ?? '-'} is over its budget`});
	}

	return undefined;
}

function createNextHost({host, phase, command}: {
	host: WaveHost;
	phase: WaveHost['phase'];
	command: NonGrantHostCommand;
}): WaveHost {
	const {failure: _, ...rest} = host;
	return {
		...rest,
		phase,
		changedAtMs: command.atMs,
		isRebootAccepted: command.type === 'waves/hostRebooting',
		...(command.type === 'waves/hostFailed' && {failure: command.failure}),
	};
}

function getHostOutcome({type}: NonGrantHostCommand): 'success' | 'failure' | undefined {
	if (type === 'waves/hostFailed') {
		return 'failure';
	}

	return type === 'waves/hostReturned' ? 'success' : undefined;
}
