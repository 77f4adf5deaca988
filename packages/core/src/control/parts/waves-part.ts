import {applyWaveCommand} from '../../waves/apply-wave-command.js';
import {defaultWavesConfig} from '../../waves/constants.js';
import {restoreWavesState} from '../../waves/restore-waves-state.js';
import type {WaveCommand} from '../../waves/types.js';
import {createWavesState} from '../../waves/waves-state.js';
import type {ControlPart, PartCommand} from '../parts.js';
import {getFleetRecords} from '../selectors.js';
import {rejectUnknownCommand} from './reject-unknown-command.js';

function isWaveCommand(command: PartCommand): command is WaveCommand {
	return command.type.startsWith('waves/');
}

/**
 * Maintenance waves. The configuration is a constant and so the same on every replica, since the outcome of
 * commands depends on it.
 */
export const wavesPart: ControlPart = {
	name: 'waves',
	restoreState(document) {
		const restored = restoreWavesState(document);
		return restored.ok
			? {states: {waves: restored.value}, findings: []}
			: {states: {}, findings: restored.err};
	},
	applyCommand({state, command}) {
		if (!isWaveCommand(command)) {
			return rejectUnknownCommand(state, command);
		}

		const {state: waves, answer} = applyWaveCommand({
			state: state.waves ?? createWavesState(),
			command,
			records: getFleetRecords(state),
			cfg: defaultWavesConfig,
		});
		return {state: answer.type === 'applied' ? {...state, waves} : state, answer};
	},
};
