import {
	createFailure, createSuccess, toBrand, type Finding, type Result,
} from '@samphiremill/common';
import * as z from 'zod/mini';
import {createTeamGrantsState} from './apply-escrow-command.js';
import type {TeamGrant, TeamGrantsState} from './types.js';

const count = z.int().check(z.minimum(0));

const grantsSchema = z.object({
	grants: z.array(z.object({
		team: z.string(), dataCentre: z.string(), amount: count, target: count, version: count,
	})),
});

/**
 * Restores the grants from a snapshot.
 *
 * @param document - The stored grants; `undefined` if the snapshot was written before grants existed.
 * @returns The state, or all findings with their paths.
 */
export function restoreTeamGrants(document: unknown): Result<TeamGrantsState, readonly Finding[]> {
	if (document === undefined) {
		return createSuccess(createTeamGrantsState());
	}

	const parsed = grantsSchema.safeParse(document);
	if (!parsed.success) {
		return createFailure(parsed.error.issues.map(({path, message}) => ({path: path.map(segment => `/${String(segment)}`).join(''), message})));
	}

	const grants = parsed.data.grants.map(({team, dataCentre, ...counts}): TeamGrant => ({
		team: toBrand(team), dataCentre: toBrand(dataCentre), ...counts,
	}));
	return createSuccess({grants});
}
