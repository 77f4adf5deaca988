import type {DataCentreId, MonotonicMs, NodeId} from '@samphiremill/common';
import type {DataCentreView, SetViewCommand} from '../control/types.js';
import {addToViewAfterMs, removeFromViewAfterMs} from './constants.js';
import type {MemberStatus, MembershipView} from './types.js';

function shouldKeepMember({health, sinceMs}: MemberStatus, nowMs: MonotonicMs): boolean {
	if (health === 'left') {
		return false;
	}

	return health !== 'dead' || nowMs - sinceMs < removeFromViewAfterMs;
}

function shouldAddMember({health, sinceMs}: MemberStatus, nowMs: MonotonicMs): boolean {
	return health === 'alive' && nowMs - sinceMs >= addToViewAfterMs;
}

function chooseMembers(view: DataCentreView | undefined, statuses: readonly MemberStatus[], nowMs: MonotonicMs): readonly NodeId[] {
	if (view === undefined) {
		return statuses.filter(({health}) => health === 'alive').map(({node}) => node).toSorted();
	}

	return statuses
		.filter(status => view.members.includes(status.node) ? shouldKeepMember(status, nowMs) : shouldAddMember(status, nowMs))
		.map(({node}) => node)
		.toSorted();
}

function planView(dataCentre: DataCentreId, view: DataCentreView | undefined, {membership, nowMs}: {
	readonly membership: MembershipView;
	readonly nowMs: MonotonicMs;
}): readonly SetViewCommand[] {
	const statuses = membership.members.filter(member => member.dataCentre === dataCentre);
	const members = chooseMembers(view, statuses, nowMs);
	const isUnchanged = members.join(' ') === (view?.members ?? []).toSorted().join(' ');
	// A data centre keeps its last view rather than an empty one, so that it can come back by itself.
	if (members.length === 0 || isUnchanged) {
		return [];
	}

	return [{
		type: 'control/setView', dataCentre, expectedEpoch: view?.epoch ?? 0, members,
	}];
}

/**
 * Plans the committed members of each data centre. A member goes once it has left, or has been dead
 * for a while; a node comes in once it has been alive for longer, so that one that flaps does not
 * move ownership back and forth. A data centre without fresh news keeps its view: it may well go on
 * serving where this node cannot see it.
 *
 * @param views - The committed views; a data centre's first has `expectedEpoch` 0.
 * @param membership - The leader's view of the entry hosts.
 * @param nowMs - The leader's time.
 * @returns The commands to propose.
 */
export function planViews(views: Iterable<DataCentreView>, membership: MembershipView, nowMs: MonotonicMs): readonly SetViewCommand[] {
	const known = new Map([...views].map(view => [view.dataCentre, view]));
	return membership.freshDataCentres
		.flatMap(dataCentre => planView(dataCentre, known.get(dataCentre), {membership, nowMs}));
}
