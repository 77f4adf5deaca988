import {
	rankMembers, type DataCentreId, type MonotonicMs, type NodeId, type TeamId,
} from '@samphiremill/common';
import type {ClaimName, ClaimsState, ClaimView} from './types.js';

/** Creates the name under which a team's idempotency key is claimed. */
export function createClaimName(team: TeamId, idempotencyKey: string): ClaimName {
	return `${team}\n${idempotencyKey}`;
}

const getKey = (name: ClaimName): string => name.slice(name.indexOf('\n') + 1);

/**
 * Finds the home data centre of a key. The prefix `dataCentre/` of an idempotency key names its home, so
 * that a data centre cut off from the others can still serve the keys that name it. Keys without such a
 * prefix are spread over the data centres by rendezvous hashing.
 *
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

/** The owner of a key, and the members that may hold its second copy, in order of rank. */
export type ClaimOwnership = {
	readonly epoch: number;
	readonly owner: NodeId;
	readonly successors: readonly NodeId[];
};

/**
 * Finds the owner of a key under the committed view.
 *
 * @returns The owner and its successors; undefined when the key has no owner.
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
 * Checks whether this node may answer for a key now.
 *
 * @param options - `epoch` is the view epoch that the requesting node saw.
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
		&& !state.isLeaving
		&& nowMs >= state.servesFromMs;
}

/** Checks whether a record of the key may be lost because every host that held it was lost. */
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
