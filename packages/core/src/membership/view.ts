/**
 * The views that the other parts read: every entry host and every worker, as seen by this node.
 */
import type {DataCentreId, MonotonicMs, NodeId} from '@samphiremill/common';
import {listFleetWorkers} from '../minions/selectors.js';
import type {MinionsState} from '../minions/types.js';
import {listLocalMembers, type NodesState} from './nodes.js';
import {listFreshDataCentres, type RemoteSummary, type SummariesState} from './summaries.js';
import type {
	FleetView, FleetWorker, MemberStatus, MembershipConfig, MembershipView, NodeAddress,
} from './types.js';

type Context = {
	readonly cfg: MembershipConfig;
	readonly nowMs: MonotonicMs;
};

function getRemoteMember({node, dataCentre}: NodeAddress, remote: RemoteSummary | undefined, {isFresh, nowMs}: {readonly isFresh: boolean; readonly nowMs: MonotonicMs}): MemberStatus {
	const summary = remote?.nodes.get(node);
	return {
		node,
		dataCentre,
		incarnation: summary?.incarnation ?? 0,
		health: isFresh && summary !== undefined ? summary.health : 'suspect',
		sinceMs: nowMs,
	};
}

function preserveSinceMs(member: MemberStatus, previous: ReadonlyMap<NodeId, MemberStatus>): MemberStatus {
	const previousMember = previous.get(member.node);
	return previousMember?.health === member.health && previousMember.incarnation === member.incarnation ? {...member, sinceMs: previousMember.sinceMs} : member;
}

/**
 * Creates the view of every entry host of the settings, in order of id. A member whose health and
 * incarnation are unchanged keeps its `sinceMs` from the previous view. An entry host of a data centre
 * without a fresh summary is suspect.
 */
export function createMembershipView(
	{nodes, summaries}: {readonly nodes: NodesState; readonly summaries: SummariesState},
	{cfg, nowMs, previous}: Context & {readonly previous: MembershipView | undefined},
): MembershipView {
	const fresh = listFreshDataCentres(summaries, {cfg, nowMs});
	const known = new Map((previous?.members ?? []).map(member => [member.node, member]));
	const remote = cfg.addresses
		.filter(({dataCentre}) => dataCentre !== cfg.self.dataCentre)
		.map(address => getRemoteMember(address, summaries.remote.get(address.dataCentre), {isFresh: fresh.includes(address.dataCentre), nowMs}));
	return {
		members: [...listLocalMembers(nodes, cfg), ...remote]
			.map(member => preserveSinceMs(member, known))
			.toSorted((left, right) => left.node < right.node ? -1 : 1),
		freshDataCentres: [cfg.self.dataCentre, ...fresh].toSorted(),
	};
}

/** Returns whether two views have the same members, health, incarnations and fresh data centres. `sinceMs` is ignored. */
export function isSameView(left: MembershipView, right: MembershipView): boolean {
	return left.members.length === right.members.length
		&& left.members.every((member, index) => {
			const other = right.members[index];
			return other?.node === member.node && other.health === member.health && other.incarnation === member.incarnation;
		})
		&& left.freshDataCentres.join(' ') === right.freshDataCentres.join(' ');
}

function listRemoteWorkers(dataCentre: DataCentreId, remote: RemoteSummary, isFresh: boolean): readonly FleetWorker[] {
	return [...remote.workers.values()].map(({worker, pool, condition}) => ({
		worker, pool, dataCentre, condition: isFresh ? condition : 'unknown', lastSeenAtMs: remote.lastSummaryAtMs,
	}));
}

/**
 * Lists every worker that this node knows, in order of id, as input for planners. A worker of another
 * data centre without a fresh summary is unknown.
 */
export function getFleetView(state: {readonly minions: MinionsState; readonly summaries: SummariesState}, {cfg, nowMs}: Context): FleetView {
	const fresh = listFreshDataCentres(state.summaries, {cfg, nowMs});
	const remote = [...state.summaries.remote]
		.flatMap(([dataCentre, summary]) => listRemoteWorkers(dataCentre, summary, fresh.includes(dataCentre)));
	return {
		workers: [...listFleetWorkers(state.minions), ...remote].toSorted((left, right) => left.worker < right.worker ? -1 : 1),
	};
}
