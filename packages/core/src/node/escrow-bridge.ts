/**
 * What escrow means to the jobs of this entry host, and the other way round.
 */
import type {MonotonicMs, PoolId, TeamId} from '@samphiremill/common';
import {listLimits} from '../control/index.js';
import {
	createTeamGrantsState, listTeamBounds, type EscrowDemand, type EscrowEvent, type HeldRight, type TeamBound,
} from '../escrow/index.js';
import type {TeamDemand} from '../jobs/index.js';
import type {HeldSlots, NodeEvent, NodeState} from './types.js';

const getDemandKey = ({pool, team}: TeamDemand): string => `${pool}/${team}`;

const addWaiting = <Id>(totals: Map<Id, number>, id: Id, waiting: number): void => {
	totals.set(id, (totals.get(id) ?? 0) + waiting);
};

/**
 * Takes in what waits now, and sums it by pool and by team.
 *
 * @param options - The entry host, the demands that changed, and the time.
 * @returns The next state, and the event that tells escrow.
 */
export function applyDemandChanges({state, demands, nowMs}: {
	readonly state: NodeState;
	readonly demands: readonly TeamDemand[];
	readonly nowMs: MonotonicMs;
}): {readonly state: NodeState; readonly event: EscrowEvent} {
	const all = state.demands.merge(demands.map((demand): [string, TeamDemand] => [getDemandKey(demand), demand]));
	const byPool = new Map<PoolId, number>();
	const byTeam = new Map<TeamId, number>();
	for (const {pool, team, waiting} of all.values()) {
		addWaiting(byPool, pool, waiting);
		addWaiting(byTeam, team, waiting);
	}

	const totals: EscrowDemand[] = [
		...[...byPool].map(([pool, waiting]): EscrowDemand => ({type: 'pool', pool, waiting})),
		...[...byTeam].map(([team, waiting]): EscrowDemand => ({type: 'team', team, waiting})),
	];
	return {state: {...state, demands: all}, event: {type: 'escrow/demand', demands: totals, nowMs}};
}

const recordHeldSlots = (state: NodeState, rights: readonly HeldRight[]): NodeState => ({
	...state,
	heldSlots: state.heldSlots.withMutations(held => {
		for (const {resource, amount} of rights) {
			if (resource.type === 'slot') {
				held.set(resource.minion, {incarnation: resource.incarnation, amount} satisfies HeldSlots);
			}
		}
	}),
});

const toJobsEvent = ({resource, amount}: HeldRight, nowMs: MonotonicMs): NodeEvent => resource.type === 'slot'
	? {
		type: 'jobs/slotsHeld', minion: resource.minion, incarnation: resource.incarnation, amount, nowMs,
	}
	: {
		type: 'jobs/limitHeld', team: resource.team, amount, nowMs,
	};

/**
 * Takes in the rights that changed.
 *
 * @param options - The entry host, the rights, and the time.
 * @returns The next state, and the events that tell the jobs.
 */
export function applyHeldRights({state, rights, nowMs}: {
	readonly state: NodeState;
	readonly rights: readonly HeldRight[];
	readonly nowMs: MonotonicMs;
}): {readonly state: NodeState; readonly events: readonly NodeEvent[]} {
	return {state: recordHeldSlots(state, rights), events: rights.map(right => toJobsEvent(right, nowMs))};
}

/**
 * @param state - The entry host.
 * @returns The committed part of each limited team that this data centre may have running.
 */
export function listDataCentreBounds({dataCentre, control}: NodeState): readonly TeamBound[] {
	const teams = listLimits(control).map(({id}) => id);
	return listTeamBounds(control.escrow ?? createTeamGrantsState(), {dataCentre, teams});
}
