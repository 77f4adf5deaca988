import {applyWaveCommand} from './apply-wave-command.js';
import type {WaveCommand, WaveInput, WavesState} from './types.js';

/** Commands planned so far, and the state that they lead to. */
export type WaveDraft = {
	readonly getState: () => WavesState;
	readonly getCommands: () => readonly WaveCommand[];
	/** Tells whether the command would be applied, without adding it. */
	readonly canApply: (command: WaveCommand) => boolean;
	/** Adds the command if it would be applied, and tells whether it was. */
	readonly propose: (command: WaveCommand) => boolean;
};

/**
 * Creates an empty plan. Since each command is tried by the same function that applies it later, a
 * plan never holds a command that its predecessors forbid.
 *
 * @param input - The state to plan from, the records and the bounds.
 * @returns The plan.
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
