import {
	applyEscrowCommand, createTeamGrantsState, restoreTeamGrants, type EscrowCommand,
} from '../../escrow/team-grants/index.js';
import type {ControlPart, PartCommand} from '../parts.js';
import {getTeamLimit} from '../selectors.js';
import {rejectUnknownCommand} from './reject-unknown-command.js';

function isEscrowCommand(command: PartCommand): command is EscrowCommand {
	return command.type.startsWith('escrow/');
}

/** The grants of team limits to data centres. */
export const escrowPart: ControlPart = {
	name: 'escrow',
	restoreState(document) {
		const restored = restoreTeamGrants(document);
		return restored.ok
			? {states: {escrow: restored.value}, findings: []}
			: {states: {}, findings: restored.err};
	},
	applyCommand({state, command}) {
		if (!isEscrowCommand(command)) {
			return rejectUnknownCommand(state, command);
		}

		const applied = applyEscrowCommand(state.escrow ?? createTeamGrantsState(), command, {
			getTeamLimit: team => getTeamLimit(state, team),
			getViewEpoch: dataCentre => state.views.get(dataCentre)?.epoch ?? 0,
		});
		return applied.ok
			? {state: {...state, escrow: applied.value}, answer: {type: 'applied'}}
			: {state, answer: {type: 'rejected', reason: applied.err.type, message: JSON.stringify(applied.err)}};
	},
};
