import type {PoolId} from '@samphiremill/common';
import type {HostOwnership, PoolRecord, WorkerRecord} from '../control/types.js';
import {getRemainingFleetAllowance, getUnavailableHosts} from '../waves/availability.js';
import type {
	BeginReleaseCommand, MoveReason, PlanMovesInput, SmoothedDemand,
} from './types.js';

/** A settled host with its record. */
type Member = {
	readonly worker: WorkerRecord;
	readonly owner: HostOwnership;
	readonly pool: PoolId;
};

/** What planning new moves needs again and again. */
type Fleet = {
	readonly members: readonly Member[];
	readonly pools: ReadonlyMap<PoolId, PoolRecord>;
	/** Hosts that may be moved now. */
	readonly movable: readonly Member[];
};

/**
 * Plans new moves: hosts whose home was changed first, then hosts to take back, then hosts to lend.
 * A pool has one host on its way at a time, so that the effect of one is seen before the next.
 *
 * @param input - The committed state, and what the leader sees.
 * @returns The commands to propose.
 */
export function planNewMoves(input: PlanMovesInput): readonly BeginReleaseCommand[] {
	const {moves, context: {records, waves, maximumHostsAsideFleetWide: maximumHostsAside}, cfg} = input;
	const room = Math.min(
		cfg.maximumMovesInFlight - moves.moves.length,
		getRemainingFleetAllowance({state: waves, records, maximumHostsAside}),
	);
	if (room < 1) {
		return [];
	}

	const fleet = createFleet(input);
	const busyPools = new Set(moves.moves.flatMap(({from, to}) => [from, to]));
	const wanted = [...planRehoming(fleet), ...planTakeBacks(input, fleet), ...planLending(input, fleet)];
	const chosen: CandidateMove[] = [];
	for (const move of wanted) {
		const isFree = !busyPools.has(move.to) && !busyPools.has(move.member.pool);
		if (isFree && chosen.length < room) {
			chosen.push(move);
			busyPools.add(move.to).add(move.member.pool);
		}
	}

	return chosen.map(({member, to, reason}) => ({
		type: 'moves/beginRelease',
		worker: member.worker.id,
		to,
		expectedEpoch: member.owner.epoch,
		reason,
		observationRevision: waves.observationRevision,
		atMs: input.atMs,
	}));
}

type CandidateMove = {readonly member: Member; readonly to: PoolId; readonly reason: MoveReason};

function createFleet({context: {records, waves}}: PlanMovesInput): Fleet {
	const workers = new Map(records.workers.map(worker => [worker.id, worker]));
	const unavailable = getUnavailableHosts({state: waves, records});
	const members = records.ownership.flatMap(owner => {
		const worker = workers.get(owner.worker);
		return worker === undefined || owner.phase.type !== 'member' ? [] : [{worker, owner, pool: owner.phase.pool}];
	});
	return {
		members,
		pools: new Map(records.pools.map(pool => [pool.id, pool])),
		movable: members.filter(({worker}) => !unavailable.has(worker.id)),
	};
}

function isLent({worker, pool}: Member, {pools}: Fleet): boolean {
	return worker.homePool !== pool && pools.get(worker.homePool)?.isSpare === true && pools.get(pool)?.isSpare === false;
}

function planRehoming(fleet: Fleet): readonly CandidateMove[] {
	return fleet.movable
		.filter(member => member.worker.homePool !== member.pool && !isLent(member, fleet))
		.map(member => ({member, to: member.worker.homePool, reason: 'rehome'}));
}

function planTakeBacks({demand, nowMs, cfg}: PlanMovesInput, fleet: Fleet): readonly CandidateMove[] {
	const calm = new Set(demand.pools
		.filter(({belowSinceMs}) => belowSinceMs !== undefined && nowMs - belowSinceMs >= cfg.takeBackHoldMs)
		.map(({pool}) => pool));
	return fleet.movable
		.filter(member => isLent(member, fleet) && calm.has(member.pool))
		.map(member => ({member, to: member.worker.homePool, reason: 'takeBack'}));
}

function planLending({demand, nowMs, cfg}: PlanMovesInput, fleet: Fleet): readonly CandidateMove[] {
	const pressed = demand.pools
		.filter(({pool, aboveSinceMs}) => fleet.pools.get(pool)?.isSpare === false
			&& aboveSinceMs !== undefined && nowMs - aboveSinceMs >= cfg.lendHoldMs)
		.toSorted((left, right) => getUtilisation(right) - getUtilisation(left));
	const isAboveReserve = (pool: PoolId) => fleet.members.filter(member => member.pool === pool).length > cfg.reserveHosts;
	const spares = fleet.movable.filter(({pool}) => fleet.pools.get(pool)?.isSpare === true && isAboveReserve(pool));
	return pressed.flatMap(({pool}) => {
		const member = chooseSpareHost({spares, pool, fleet});
		return member === undefined ? [] : [{member, to: pool, reason: 'lend' as const}];
	});
}

function getUtilisation({demandSlots, capacitySlots}: SmoothedDemand): number {
	return demandSlots / Math.max(1, capacitySlots);
}

/** Keeps failure domains balanced: takes the host whose data centre and rack serve the pool least. */
function chooseSpareHost({spares, pool, fleet}: {
	spares: readonly Member[];
	pool: PoolId;
	fleet: Fleet;
}): Member | undefined {
	const served = fleet.members.filter(member => member.pool === pool);
	const count = (spare: Member) => ({
		dataCentre: served.filter(({worker}) => worker.dataCentre === spare.worker.dataCentre).length,
		rack: served.filter(({worker}) => worker.dataCentre === spare.worker.dataCentre
			&& worker.rack === spare.worker.rack).length,
	});
	return spares
		.map(spare => ({spare, counts: count(spare)}))
		.toSorted((left, right) => left.counts.dataCentre - right.counts.dataCentre
			|| left.counts.rack - right.counts.rack
			|| (left.spare.worker.id < right.spare.worker.id ? -1 : 1))[0]?.spare;
}
