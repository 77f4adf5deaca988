import {applyWaveCommand} from './apply-wave-command.js';
import type {WaveCommand, WaveInput, WavesState} from './types.js';

/** The commands that are planned so far, and the state that results from them. */
export type WaveDraft = {
	readonly getState: () => WavesState;
	readonly getCommands: () => readonly WaveCommand[];
	/** Checks whether the command would be applied, without adding it. */
	readonly canApply: (command: WaveCommand) => boolean;
	/** Adds the command if it would be applied. Returns whether it was added. */
	readonly propose: (command: WaveCommand) => boolean;
};

/**
 * Creates an empty plan. Each command is tried with the function that applies it later, so a plan never
 * contains a command that would be rejected after the commands before it.
 */
export function createWaveDraft({state, records, cfg}: Omit<WaveInput, 'command'>): WaveDraft {
	let drafted = state;
	const commands: WaveCommand[] = [];
	const tryCommand = (command: WaveCommand) => applyWaveCommand({
		state: drafted, command, records, cfg,
	});
	return {
		getState: () => drafted,
		getCommands: () => commands,
		canApply: command => tryCommand(command).answer.type === 'applied',
		propose(command) {
			const {state: next, answer} = tryCommand(command);
			if (answer.type === 'rejected') {
				return false;
			}

			drafted = next;
			commands.push(command);
			return true;
		},
	};
}
