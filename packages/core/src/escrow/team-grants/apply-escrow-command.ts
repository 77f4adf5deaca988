import {
	createFailure, createSuccess, type DataCentreId, type Result, type TeamId,
} from '@samphiremill/common';
import type {TeamBound} from '../types.js';
import type {
	EscrowCommand, EscrowRejection, TeamGrant, TeamGrantsState,
} from './types.js';

/** The limits and views that a command is checked against. */
export type EscrowContext = {
	readonly getTeamLimit: (team: TeamId) => number | undefined;
	/** Returns the epoch of the data centre's committed view, or 0 if it has none. */
	readonly getViewEpoch: (dataCentre: DataCentreId) => number;
};

/** Creates the state before the first grant. */
export function createTeamGrantsState(): TeamGrantsState {
	return {grants: []};
}

/** Returns a data centre's grant of a team's limit, or an empty grant of version 0 if there is none. */
export function getTeamGrant(state: TeamGrantsState, {team, dataCentre}: {readonly team: TeamId; readonly dataCentre: DataCentreId}): TeamGrant {
	return state.grants.find(grant => grant.team === team && grant.dataCentre === dataCentre) ?? {
		team, dataCentre, amount: 0, target: 0, version: 0,
	};
}

/** Returns the amount of a team's limit that is charged to all data centres together. */
export function getGrantedTotal(state: TeamGrantsState, team: TeamId): number {
	let total = 0;
	for (const grant of state.grants) {
		total += grant.team === team ? grant.amount : 0;
	}

	return total;
}

function putGrant(state: TeamGrantsState, grant: TeamGrant): TeamGrantsState {
	const others = state.grants.filter(({team, dataCentre}) => team !== grant.team || dataCentre !== grant.dataCentre);
	return {grants: [...others, {...grant, version: grant.version + 1}]};
}

type Outcome = Result<TeamGrantsState, EscrowRejection>;

const invalidAmount: Outcome = createFailure({type: 'invalidAmount'});

function applyGrantCommand(state: TeamGrantsState, {grant, amount, limit}: {
	readonly grant: TeamGrant;
	readonly amount: number;
	readonly limit: number;
}): Outcome {
	const granted = getGrantedTotal(state, grant.team) - grant.amount + Math.max(amount, grant.amount);
	if (amount > grant.amount && granted > limit) {
		return createFailure({type: 'limitExceeded', limit, granted});
	}

	return amount > grant.target
		? createSuccess(putGrant(state, {...grant, amount: Math.max(amount, grant.amount), target: amount}))
		: invalidAmount;
}

function applyReturnCommand(state: TeamGrantsState, {grant, command, epoch}: {
	readonly grant: TeamGrant;
	readonly command: EscrowCommand & {type: 'escrow/returnTeamLimit'};
	readonly epoch: number;
}): Outcome {
	// The home in a later view may lend under a different version of the grant than the home that reported.
	if (command.viewEpoch !== epoch) {
		return createFailure({type: 'viewChanged', epoch});
	}

	const isValid = command.amount >= grant.target && command.amount < grant.amount;
	return isValid ? createSuccess(putGrant(state, {...grant, amount: command.amount})) : invalidAmount;
}

/**
 * Applies a change of grants. The sum of a team's charged amounts never grows beyond its limit. While it
 * exceeds a lowered limit, it can only shrink.
 *
 * @param context - The limits and views at the command's position in the log.
 * @returns The new grants, or the reason for the rejection.
 */
export function applyEscrowCommand(state: TeamGrantsState, command: EscrowCommand, context: EscrowContext): Outcome {
	const grant = getTeamGrant(state, command);
	if (grant.version !== command.expectedVersion) {
		return createFailure({type: 'versionChanged', version: grant.version});
	}

	const value = command.type === 'escrow/recallTeamLimit' ? command.target : command.amount;
	if (!Number.isSafeInteger(value) || value < 0) {
		return invalidAmount;
	}

	switch (command.type) {
		case 'escrow/grantTeamLimit': {
			return applyGrantCommand(state, {grant, amount: command.amount, limit: context.getTeamLimit(command.team) ?? 0});
		}

		case 'escrow/recallTeamLimit': {
			return command.target < grant.target ? createSuccess(putGrant(state, {...grant, target: command.target})) : invalidAmount;
		}

		case 'escrow/returnTeamLimit': {
			return applyReturnCommand(state, {grant, command, epoch: context.getViewEpoch(command.dataCentre)});
		}
	}
}

/**
 * Lists the bounds of teams in a data centre.
 *
 * @param options.teams - The teams that have a limit.
 */
export function listTeamBounds(state: TeamGrantsState, {dataCentre, teams}: {
	readonly dataCentre: DataCentreId;
	readonly teams: readonly TeamId[];
}): readonly TeamBound[] {
	return teams.map(team => {
		const {amount, target, version} = getTeamGrant(state, {team, dataCentre});
		return {
			team, amount: target, version, isRecalled: target < amount,
		};
	});
}
