/**
 * Reads of the control state. Lists are in order of id and are computed once per set of records.
 */
import type {
	DataCentreId, KeyId, PoolId, QueueId, TeamId, WorkerId,
} from '@samphiremill/common';
import {Map as ImmutableMap} from 'immutable';
import type {FleetRecords} from '../waves/types.js';
import {defaultTeamWeight} from './constants.js';
import type {
	ControlRecord, ControlState, DataCentreView, HistoryEntry, HostOwnership, KeyRecord, LimitRecord, PoolRecord,
	QueueRecord, RecordKind, ShareRecord, TeamRecord, VersionedRecord, WaveRecord, WorkerRecord,
} from './types.js';

/** The record type of one kind. */
export type RecordOf<Kind extends RecordKind> = Extract<ControlRecord, {kind: Kind}>;

/** A record of one kind with its revision. */
export type VersionedRecordOf<Kind extends RecordKind> = VersionedRecord & {readonly record: RecordOf<Kind>};

type RecordAddress<Kind extends RecordKind = RecordKind> = {readonly kind: Kind; readonly id: string};

const noRecords: ImmutableMap<string, VersionedRecord> = ImmutableMap();
const sortedOwnership = new WeakMap<ControlState['ownership'], readonly HostOwnership[]>();
const sortedRecords = new WeakMap<ImmutableMap<string, VersionedRecord>, readonly VersionedRecord[]>();

function isOfKind<Kind extends RecordKind>(versioned: VersionedRecord, kind: Kind): versioned is VersionedRecordOf<Kind> {
	return versioned.record.kind === kind;
}

/**
 * @param left - A text.
 * @param right - Another.
 * @returns The order of the two by code unit, the same on every host whatever its locale.
 */
export function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

/**
 * @param address - The kind and id of a record.
 * @returns The record's key in maps over all kinds.
 */
export function getRecordKey({kind, id}: RecordAddress): string {
	return `${kind}/${id}`;
}

/**
 * @param state - The control state.
 * @param address - The kind and id of a record.
 * @returns The record with its revision, or `undefined` where there is none.
 */
export function getVersionedRecord<Kind extends RecordKind>(
	state: ControlState,
	{kind, id}: RecordAddress<Kind>,
): VersionedRecordOf<Kind> | undefined {
	const versioned = state.records.get(kind)?.get(id);
	return versioned !== undefined && isOfKind(versioned, kind) ? versioned : undefined;
}

/**
 * @param state - The control state.
 * @param kind - The kind of records.
 * @returns All records of the kind with their revisions, in order of id.
 */
export function listVersionedRecords<Kind extends RecordKind>(
	state: ControlState,
	kind: Kind,
): ReadonlyArray<VersionedRecordOf<Kind>> {
	const records = state.records.get(kind) ?? noRecords;
	const sorted = sortedRecords.get(records)
		?? [...records.values()].toSorted((left, right) => compareText(left.record.id, right.record.id));
	sortedRecords.set(records, sorted);
	return sorted.filter(versioned => isOfKind(versioned, kind));
}

function listRecords<Kind extends RecordKind>(state: ControlState, kind: Kind): ReadonlyArray<RecordOf<Kind>> {
	return listVersionedRecords(state, kind).map(({record}) => record);
}

/** @returns All pools in order of id. */
export function listPools(state: ControlState): readonly PoolRecord[] {
	return listRecords(state, 'pool');
}

/** @returns All teams in order of id. */
export function listTeams(state: ControlState): readonly TeamRecord[] {
	return listRecords(state, 'team');
}

/** @returns All shares in order of their team. */
export function listShares(state: ControlState): readonly ShareRecord[] {
	return listRecords(state, 'share');
}

/** @returns All limits in order of their team. */
export function listLimits(state: ControlState): readonly LimitRecord[] {
	return listRecords(state, 'limit');
}

/** @returns All keys in order of id. */
export function listKeys(state: ControlState): readonly KeyRecord[] {
	return listRecords(state, 'key');
}

/** @returns All queues in order of id. */
export function listQueues(state: ControlState): readonly QueueRecord[] {
	return listRecords(state, 'queue');
}

/** @returns All workers in order of id. */
export function listWorkerRecords(state: ControlState): readonly WorkerRecord[] {
	return listRecords(state, 'worker');
}

/** @returns All waves in order of id. */
export function listWaves(state: ControlState): readonly WaveRecord[] {
	return listRecords(state, 'wave');
}

/** @returns The owners of all hosts, in order of worker. */
export function listOwnership({ownership}: ControlState): readonly HostOwnership[] {
	const sorted = sortedOwnership.get(ownership)
		?? [...ownership.values()].toSorted((left, right) => compareText(left.worker, right.worker));
	sortedOwnership.set(ownership, sorted);
	return sorted;
}

/**
 * @param state - The control state.
 * @returns What waves and moves read of the records.
 */
export function getFleetRecords(state: ControlState): FleetRecords {
	return {
		pools: listPools(state),
		waves: listVersionedRecords(state, 'wave'),
		workers: listWorkerRecords(state),
		ownership: listOwnership(state),
	};
}

/**
 * @param state - The control state.
 * @param team - A team.
 * @returns The team's weight when the fleet is full; the default where it has no share record.
 */
export function getTeamWeight(state: ControlState, team: TeamId): number {
	return getVersionedRecord(state, {kind: 'share', id: team})?.record.weight ?? defaultTeamWeight;
}

/**
 * @param state - The control state.
 * @param team - A team.
 * @returns The most jobs that the team may run fleet-wide, or `undefined` where it has no limit record.
 */
export function getTeamLimit(state: ControlState, team: TeamId): number | undefined {
	return getVersionedRecord(state, {kind: 'limit', id: team})?.record.maximumRunningJobs;
}

/**
 * @param state - The control state.
 * @param queue - A queue.
 * @returns The queue, or `undefined` where there is none.
 */
export function getQueue(state: ControlState, queue: QueueId): QueueRecord | undefined {
	return getVersionedRecord(state, {kind: 'queue', id: queue})?.record;
}

/**
 * @param state - The control state.
 * @param key - A key's id.
 * @returns The key, or `undefined` where it was withdrawn or never granted.
 */
export function getKey(state: ControlState, key: KeyId): KeyRecord | undefined {
	return getVersionedRecord(state, {kind: 'key', id: key})?.record;
}

/**
 * @param state - The control state.
 * @param secretHash - SHA-256 of the secret that a caller showed, in hexadecimal.
 * @returns The key in force, or `undefined`. The caller compares the whole hash in constant time.
 */
export function findKeyBySecretHash(state: ControlState, secretHash: string): KeyRecord | undefined {
	const id = state.keyBySecretHash.get(secretHash);
	return id === undefined ? undefined : getKey(state, id);
}

/**
 * @param state - The control state.
 * @param worker - A worker.
 * @returns The pool that owns the worker at this moment; while it is released, still the old one.
 */
export function getPoolOf(state: ControlState, worker: WorkerId): PoolId | undefined {
	return state.ownership.get(worker)?.phase.pool;
}

/**
 * @param state - The control state.
 * @param dataCentre - A data centre.
 * @returns Its committed members, or `undefined` before the first view.
 */
export function getView(state: ControlState, dataCentre: DataCentreId): DataCentreView | undefined {
	return state.views.get(dataCentre);
}

/**
 * @param state - The control state.
 * @param address - The kind and id of a record, which may be deleted.
 * @returns The latest changes of the record, oldest first.
 */
export function getHistory(state: ControlState, address: RecordAddress): readonly HistoryEntry[] {
	return state.history.get(getRecordKey(address)) ?? [];
}
