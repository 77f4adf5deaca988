import type {WorkerId} from '@samphiremill/common';
import {
	getVersionedRecord,
	getTeamLimit, getTeamWeight, listQueues, listTeams,
} from '../control/index.js';
import type {JobsPolicy, PlaceableMinion} from '../jobs/index.js';
import type {KnownMinion} from '../membership/index.js';
import {listMinions} from '../minions/index.js';
import {createWavesState, getHostsAside} from '../waves/index.js';
import type {NodeState} from './types.js';

const getHeldSlots = ({heldSlots}: NodeState, {minion, incarnation}: KnownMinion): number => {
	const held = heldSlots.get(minion);
	return held?.incarnation === incarnation ? held.amount : 0;
};

/** A host takes work only for the pool that owns it, and none while it is being released. */
const isOwnedByPool = (state: NodeState, {worker, pool}: KnownMinion): boolean => {
	const phase = state.control.ownership.get(worker)?.phase;
	return phase?.type === 'member' && phase.pool === pool;
};

type PlacementInput = {
	readonly state: NodeState;
	readonly known: KnownMinion;
	/** Hosts that a maintenance wave holds aside. */
	readonly aside: ReadonlySet<WorkerId>;
};

const getPlaceableMinion = ({state, known, aside}: PlacementInput): PlaceableMinion | undefined => {
	const record = getVersionedRecord(state.control, {kind: 'worker', id: known.worker})?.record;
	if (record === undefined) {
		return undefined;
	}

	const {minion, incarnation, worker, pool, connections} = known;
	return {
		minion,
		incarnation,
		worker,
		pool,
		rack: record.rack,
		cores: record.cores,
		memoryMb: record.memoryMb,
		heldSlots: getHeldSlots(state, known),
		connections,
		isAcceptingWork: known.condition === 'ready' && isOwnedByPool(state, known) && !aside.has(worker),
	};
};

/**
 * Lists the minions of this data centre that the records know, as placement sees them.
 *
 * @param state - The entry host.
 * @returns The minions in order of id.
 */
export function listPlaceableMinions(state: NodeState): readonly PlaceableMinion[] {
	const aside = new Set(getHostsAside({state: state.control.waves ?? createWavesState()}));
	return listMinions(state.membership.minions)
		.map(known => getPlaceableMinion({state, known, aside}))
		.filter(minion => minion !== undefined);
}

/**
 * @param state - The entry host.
 * @returns The records that decisions depend on.
 */
export function getJobsPolicy({control}: NodeState): JobsPolicy {
	return {
		queues: listQueues(control).map(({id, pool}) => ({queue: id, pool})),
		teams: listTeams(control).map(({id}) => ({
			team: id,
			weight: getTeamWeight(control, id),
			isLimited: getTeamLimit(control, id) !== undefined,
		})),
	};
}
