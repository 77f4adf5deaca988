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

/** Checks the owner of a host: it accepts work only for the pool that owns it, and none while it is being released. */
const isOwnedByPool = (state: NodeState, {worker, pool}: KnownMinion): boolean => {
	const phase = state.control.ownership.get(worker)?.phase;
	return phase?.type === 'member' && phase.pool === pool;
};

type PlacementInput = {
	readonly state: NodeState;
	readonly known: KnownMinion;
	/** Hosts that maintenance waves keep out of service. */
	readonly hostsOutOfService: ReadonlySet<WorkerId>;
};

const getPlaceableMinion = ({state, known, hostsOutOfService}: PlacementInput): PlaceableMinion | undefined => {
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
		isAcceptingWork: known.condition === 'ready' && isOwnedByPool(state, known) && !hostsOutOfService.has(worker),
	};
};

/**
 * Lists the minions of this data centre whose worker has a record, in order of id, with the data that
 * placement needs.
 */
export function listPlaceableMinions(state: NodeState): readonly PlaceableMinion[] {
	const hostsOutOfService = new Set(getHostsAside({state: state.control.waves ?? createWavesState()}));
	return listMinions(state.membership.minions)
		.map(known => getPlaceableMinion({state, known, hostsOutOfService}))
		.filter(minion => minion !== undefined);
}

/** Returns the settings of queues and teams that decisions about jobs depend on. */
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
