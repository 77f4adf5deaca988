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
	// A data centre keeps its last view instead of an empty one, so that it can recover on its own.
	if (members.length === 0 || isUnchanged) {
		return [];
	}

	return [{
		type: 'control/setView', dataCentre, expectedEpoch: view?.epoch ?? 0, members,
	}];
}

/**
 * Plans the committed members of each data centre. A member is removed once it has left or has been
 * dead for `removeFromViewAfterMs`. A node is added once it has been alive for `addToViewAfterMs`, which
 * is longer, so that a flapping node does not move ownership back and forth. A data centre without a
 * fresh summary keeps its view, as it may still serve although this node cannot reach it.
 *
 * @param views - The committed views. For the first view of a data centre, `expectedEpoch` is 0.
 * @param membership - The leader's view of the entry hosts.
 * @param nowMs - The time on the leader's clock.
 * @returns The commands to propose.
 */
export function planViews(views: Iterable<DataCentreView>, membership: MembershipView, nowMs: MonotonicMs): readonly SetViewCommand[] {
	const known = new Map([...views].map(view => [view.dataCentre, view]));
	return membership.freshDataCentres
		.flatMap(dataCentre => planView(dataCentre, known.get(dataCentre), {membership, nowMs}));
}
