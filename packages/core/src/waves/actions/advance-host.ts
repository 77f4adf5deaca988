import {getRemainingBudget} from '../availability.js';
import {getHostEvent, getNextHostPhase, type HostCommand} from '../host-machine.js';
import {recordHostResult} from '../record-host-result.js';
import {completeWaveIfDone} from '../complete-wave-if-done.js';
import type {
	AdvanceHostCommand, GrantDrainCommand, WaveCommandResult, WaveHost, WaveInput,
} from '../types.js';
import {
	createAppliedResult, createRejectedResult, findHost, findWave, replaceHost, replaceWave,
} from '../waves-state.js';

type NonGrantHostCommand = Exclude<HostCommand, GrantDrainCommand>;

/**
 * Advances one host of a wave to its next phase, and ends the wave if no work is left. A command for an
 * earlier grant of the host is rejected.
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
		const rejection = findStepRejection({...input, command}, wave.phase);
		if (rejection !== undefined) {
			return rejection;
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

/** Rejects the drain or reboot of a host if its wave is not running, or if failures have exceeded the budget. */
function findStepRejection(
	{state, command, records}: WaveInput<AdvanceHostCommand>,
	wavePhase: string,
): WaveCommandResult | undefined {
	if (wavePhase !== 'running') {
		return createRejectedResult({state, reason: 'notRunning', message: `wave ${command.wave} is ${wavePhase}`});
	}

	const pool = records.ownership.find(({worker}) => worker === command.worker)?.phase.pool;
	// The host itself counts as unavailable since its grant, so a remaining budget of 0 is allowed.
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
