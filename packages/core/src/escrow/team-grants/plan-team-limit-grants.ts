import type {DataCentreId, TeamId} from '@samphiremill/common';
import type {DataCentreView} from '../../control/types.js';
import {computeTargets, type AllocationTarget} from '../allocation.js';
import {getGrantedTotal, getTeamGrant} from './apply-escrow-command.js';
import type {EscrowCommand, TeamGrantsState, TeamLimitReport} from './types.js';

/** One team's limit as it is in force. */
export type TeamLimit = {
	readonly team: TeamId;
	readonly limit: number;
};

/** What the leader plans grants from. */
export type TeamGrantsInput = {
	readonly state: TeamGrantsState;
	readonly limits: readonly TeamLimit[];
	readonly views: readonly DataCentreView[];
	readonly reports: readonly TeamLimitReport[];
};

type DataCentreTarget = AllocationTarget<DataCentreId>;

function findReport({reports, views}: TeamGrantsInput, team: TeamId, dataCentre: DataCentreId): TeamLimitReport | undefined {
	const epoch = views.find(view => view.dataCentre === dataCentre)?.epoch;
	return reports.find(report => report.team === team && report.dataCentre === dataCentre && report.viewEpoch === epoch);
}

/** What a home has shown to be free of a recalled grant. */
function planReturns(input: TeamGrantsInput, team: TeamId): readonly EscrowCommand[] {
	return input.state.grants.filter(grant => grant.team === team && grant.target < grant.amount).flatMap(grant => {
		const report = findReport(input, team, grant.dataCentre);
		const amount = Math.max(grant.target, report?.charged ?? grant.amount);
		return report?.version === grant.version && amount < grant.amount
			? [{
				type: 'escrow/returnTeamLimit', team, dataCentre: grant.dataCentre, expectedVersion: grant.version, amount, viewEpoch: report.viewEpoch,
			}]
			: [];
	});
}

function isUnderAllocated({wanted, charged, amount}: DataCentreTarget): boolean {
	return charged < amount && (wanted > charged || charged === 0);
}

function planTeam(input: TeamGrantsInput, {team, limit}: TeamLimit): readonly EscrowCommand[] {
	const returns = planReturns(input, team);
	if (returns.length > 0) {
		return returns;
	}

	const claimants = input.views.map(({dataCentre}) => ({
		holder: dataCentre,
		wanted: findReport(input, team, dataCentre)?.wanted ?? 0,
		charged: getTeamGrant(input.state, {team, dataCentre}).amount,
	}));
	const targets = computeTargets(claimants, limit);
	const isAnyUnderAllocated = targets.some(target => isUnderAllocated(target));
	let free = limit - getGrantedTotal(input.state, team);
	const isReclaimNeeded = free < 0 || (free === 0 && isAnyUnderAllocated);
	return targets.flatMap((target): readonly EscrowCommand[] => {
		const {dataCentre, target: currentTarget, amount, version: expectedVersion} = getTeamGrant(input.state, {team, dataCentre: target.holder});
		if (target.amount > currentTarget) {
			const next = Math.min(target.amount, amount + Math.max(0, free));
			free -= Math.max(0, next - amount);
			return next > currentTarget
				? [{
					type: 'escrow/grantTeamLimit', team, dataCentre, expectedVersion, amount: next,
				}]
				: [];
		}

		return isReclaimNeeded && target.amount < currentTarget
			? [{
				type: 'escrow/recallTeamLimit', team, dataCentre, expectedVersion, target: target.amount,
			}]
			: [];
	});
}

/**
 * Plans the division of team limits between data centres: by demand, what nobody wants evenly. A
 * grant is recalled only when another data centre needs it or the limit was lowered, and what was
 * recalled is granted on only once its home has shown that it is free.
 *
 * @param input - The grants, limits and views in force, and the homes' reports.
 * @returns The commands to propose.
 */
export function planTeamLimitGrants(input: TeamGrantsInput): readonly EscrowCommand[] {
	return input.limits.flatMap(limit => planTeam(input, limit));
}
