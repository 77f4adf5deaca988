import type {TeamId} from '@samphiremill/common';
import {getTeamLimit, listTeams, type ControlState} from '../control/index.js';
import type {NodeState} from './types.js';

/** The part of one team's limit that this entry host may have running. */
export type TeamAllowance = {
	readonly team: TeamId;
	readonly amount: number;
};

const listMembers = (control: ControlState): string[] => [...control.views.values()].flatMap(({members}) => members).toSorted();

/**
 * Splits each team's limit evenly over the committed entry hosts, so that the parts never sum past it.
 *
 * @param state - The entry host.
 * @returns This host's part of each limited team's limit.
 */
export function listTeamAllowances({self, control}: NodeState): readonly TeamAllowance[] {
	const members = listMembers(control);
	const place = members.indexOf(self);
	return listTeams(control).flatMap(({id: team}) => {
		const limit = getTeamLimit(control, team);
		if (limit === undefined) {
			return [];
		}

		if (place === -1) {
			return [{team, amount: 0}];
		}

		const remainder = place < limit % members.length ? 1 : 0;
		return [{team, amount: Math.floor(limit / members.length) + remainder}];
	});
}
