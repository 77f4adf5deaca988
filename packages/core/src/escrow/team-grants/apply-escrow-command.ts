import {
	createFailure, createSuccess, type DataCentreId, type Result, type TeamId,
} from '@samphiremill/common';
import type {TeamBound} from '../types.js';
import type {
	EscrowCommand, EscrowRejection, TeamGrant, TeamGrantsState,
} from './types.js';

/** What a command is checked against. */
export type EscrowContext = {
	readonly getTeamLimit: (team: TeamId) => number | undefined;
	/** The epoch of the data centre's committed view; 0 where it has none. */
	readonly getViewEpoch: (dataCentre: DataCentreId) => number;
};

/** @returns The state before the first grant. */
export function createTeamGrantsState(): TeamGrantsState {
	return {grants: []};
}

/**
 * @param state - The grants.
 * @param ref - A team and a data centre.
 * @returns The data centre's part of the team's limit; an empty one of version 0 where there is none.
 */
export function getTeamGrant(state: TeamGrantsState, {team, dataCentre}: {readonly team: TeamId; readonly dataCentre: DataCentreId}): TeamGrant {
	return state.grants.find(grant => grant.team === team && grant.dataCentre === dataCentre) ?? {
		team, dataCentre, amount: 0, target: 0, version: 0,
	};
}

/**
 * @param state - The grants.
 * @param team - A team.
 * @returns How much of the team's limit is charged to all data centres together.
 */
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
	// A home under a later view may lend under another version of the grant than the one that reported.
	if (command.viewEpoch !== epoch) {
		return createFailure({type: 'viewChanged', epoch});
	}

	const isValid = command.amount >= grant.target && command.amount < grant.amount;
	return isValid ? createSuccess(putGrant(state, {...grant, amount: command.amount})) : invalidAmount;
}

/**
 * Applies a change of grants. The charged amounts of a team never grow past its limit; after the
 * limit was lowered they only shrink.
 *
 * @param state - The grants.
 * @param command - The change.
 * @param context - The limits and views in force at this place of the log.
 * @returns The new grants, or why the command was rejected.
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
 * @param state - The grants.
 * @param options - The data centre, and the teams that have a limit.
 * @returns What the data centre may have running of each of these teams.
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
