import {
	rankMembers, type DataCentreId, type MonotonicMs, type NodeId, type TeamId,
} from '@samphiremill/common';
import type {ClaimName, ClaimsState, ClaimView} from './types.js';

/**
 * @param team - The team whose key came with the job.
 * @param idempotencyKey - The caller's idempotency key.
 * @returns The name under which the key is claimed.
 */
export function createClaimName(team: TeamId, idempotencyKey: string): ClaimName {
	return `${team}\n${idempotencyKey}`;
}

const getKey = (name: ClaimName): string => name.slice(name.indexOf('\n') + 1);

/**
 * Finds the home of a key. A caller chooses it by the prefix `dataCentre/` of its idempotency key, so
 * that a data centre that is cut off can serve the keys that name it; other keys are spread.
 *
 * @param state - The claims of this node.
 * @param name - The claimed name.
 * @returns The view of the home data centre; undefined when no view is known.
 */
export function findHomeView(state: ClaimsState, name: ClaimName): ClaimView | undefined {
	const key = getKey(name);
	const prefix = key.slice(0, Math.max(0, key.indexOf('/')));
	const named = [...state.views.values()].find(({dataCentre}) => dataCentre === prefix);
	if (named !== undefined) {
		return named;
	}

	const dataCentres = [...state.views.keys()];
	const [home] = rankMembers<DataCentreId>(name, dataCentres);
	return home === undefined ? undefined : state.views.get(home);
}

/** Who answers for a key, and who may hold its second copy, nearest first. */
export type ClaimOwnership = {
	readonly epoch: number;
	readonly owner: NodeId;
	readonly successors: readonly NodeId[];
};

/**
 * @param state - The claims of this node.
 * @param name - The claimed name.
 * @returns Who answers for the key under the committed view; undefined when nobody does.
 */
export function findOwnership(state: ClaimsState, name: ClaimName): ClaimOwnership | undefined {
	const view = findHomeView(state, name);
	if (view === undefined) {
		return undefined;
	}

	const [owner, ...successors] = rankMembers(name, view.members);
	return owner === undefined ? undefined : {epoch: view.epoch, owner, successors};
}

/**
 * @param options - The claims of this node, the name, the epoch that the asking node saw, and the time.
 * @returns Whether this node may answer for the key now.
 */
export function canAnswerFor({state, name, epoch, nowMs}: {
	readonly state: ClaimsState;
	readonly name: ClaimName;
	readonly epoch: number;
	readonly nowMs: MonotonicMs;
}): boolean {
	const ownership = findOwnership(state, name);
	return ownership?.owner === state.self
		&& ownership.epoch === epoch
		&& state.isConfigurationFresh
		&& state.awaitedHandovers.length === 0
		&& nowMs >= state.servesFromMs;
}

/**
 * @param options - The claims of this node, the name and the time.
 * @returns Whether a record of the key may have been lost with every host that held it.
 */
export function isQuarantined({state, name, nowMs}: {
	readonly state: ClaimsState;
	readonly name: ClaimName;
	readonly nowMs: MonotonicMs;
}): boolean {
	return state.quarantines.some(({members, lost, untilMs}) => {
		const [formerOwner] = rankMembers(name, members);
		return nowMs < untilMs && formerOwner !== undefined && lost.includes(formerOwner);
	});
}
