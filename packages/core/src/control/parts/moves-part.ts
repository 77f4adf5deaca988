import {applyMoveCommand} from '../../moves/apply-move-command.js';
import {createMovesState, restoreMovesState} from '../../moves/moves-state.js';
import type {MoveCommand} from '../../moves/types.js';
import {defaultWavesConfig} from '../../waves/constants.js';
import {createWavesState} from '../../waves/waves-state.js';
import type {ControlPart, PartCommand} from '../parts.js';
import {getFleetRecords} from '../selectors.js';
import {rejectUnknownCommand} from './reject-unknown-command.js';

function isMoveCommand(command: PartCommand): command is MoveCommand {
	return command.type.startsWith('moves/');
}

/** Moves of hosts between pools. */
export const movesPart: ControlPart = {
	name: 'moves',
	restoreState(document) {
		const restored = restoreMovesState(document);
		return restored.ok
			? {states: {moves: restored.value}, findings: []}
			: {states: {}, findings: restored.err};
	},
	applyCommand({state, command}) {
		if (!isMoveCommand(command)) {
			return rejectUnknownCommand(state, command);
		}

		const {state: moves, ownership, answer} = applyMoveCommand({
			state: state.moves ?? createMovesState(),
			command,
			context: {
				records: getFleetRecords(state),
				waves: state.waves ?? createWavesState(),
				views: [...state.views.values()],
				maximumHostsAsideFleetWide: defaultWavesConfig.maximumHostsAsideFleetWide,
			},
		});
		if (answer.type === 'rejected') {
			return {state, answer};
		}

		const owners = ownership === undefined ? state.ownership : state.ownership.set(ownership.worker, ownership);
		return {state: {...state, moves, ownership: owners}, answer};
	},
};
