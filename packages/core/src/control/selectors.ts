/**
 * Read access to the control state. Lists are sorted by id, and cached until the records of their kind change.
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

/** The record type of a kind. */
export type RecordOf<Kind extends RecordKind> = Extract<ControlRecord, {kind: Kind}>;

export type VersionedRecordOf<Kind extends RecordKind> = VersionedRecord & {readonly record: RecordOf<Kind>};

type RecordAddress<Kind extends RecordKind = RecordKind> = {readonly kind: Kind; readonly id: string};

const noRecords: ImmutableMap<string, VersionedRecord> = ImmutableMap();
const sortedOwnership = new WeakMap<ControlState['ownership'], readonly HostOwnership[]>();
const sortedRecords = new WeakMap<ImmutableMap<string, VersionedRecord>, readonly VersionedRecord[]>();

function isOfKind<Kind extends RecordKind>(versioned: VersionedRecord, kind: Kind): versioned is VersionedRecordOf<Kind> {
	return versioned.record.kind === kind;
}

/** Compares two strings by code unit, which gives the same order on every host, whatever its locale. */
export function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

/** Returns the key of a record in maps that hold records of all kinds. */
export function getRecordKey({kind, id}: RecordAddress): string {
	return `${kind}/${id}`;
}

/** Returns a record with its revision, or `undefined` if it does not exist. */
export function getVersionedRecord<Kind extends RecordKind>(
	state: ControlState,
	{kind, id}: RecordAddress<Kind>,
): VersionedRecordOf<Kind> | undefined {
	const versioned = state.records.get(kind)?.get(id);
	return versioned !== undefined && isOfKind(versioned, kind) ? versioned : undefined;
}

/** Lists all records of a kind with their revisions, sorted by id. */
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

export function listPools(state: ControlState): readonly PoolRecord[] {
	return listRecords(state, 'pool');
}

export function listTeams(state: ControlState): readonly TeamRecord[] {
	return listRecords(state, 'team');
}

export function listShares(state: ControlState): readonly ShareRecord[] {
	return listRecords(state, 'share');
}

export function listLimits(state: ControlState): readonly LimitRecord[] {
	return listRecords(state, 'limit');
}

export function listKeys(state: ControlState): readonly KeyRecord[] {
	return listRecords(state, 'key');
}

export function listQueues(state: ControlState): readonly QueueRecord[] {
	return listRecords(state, 'queue');
}

export function listWorkerRecords(state: ControlState): readonly WorkerRecord[] {
	return listRecords(state, 'worker');
}

export function listWaves(state: ControlState): readonly WaveRecord[] {
	return listRecords(state, 'wave');
}

/** Lists the owners of all hosts, sorted by worker. */
export function listOwnership({ownership}: ControlState): readonly HostOwnership[] {
	const sorted = sortedOwnership.get(ownership)
		?? [...ownership.values()].toSorted((left, right) => compareText(left.worker, right.worker));
	sortedOwnership.set(ownership, sorted);
	return sorted;
}

/** Returns the records that waves and moves read. */
export function getFleetRecords(state: ControlState): FleetRecords {
	return {
		pools: listPools(state),
		waves: listVersionedRecords(state, 'wave'),
		workers: listWorkerRecords(state),
		ownership: listOwnership(state),
	};
}

/** Returns a team's weight when the fleet is full. A team without a share record has the default weight. */
export function getTeamWeight(state: ControlState, team: TeamId): number {
	return getVersionedRecord(state, {kind: 'share', id: team})?.record.weight ?? defaultTeamWeight;
}

/** Returns the maximum number of jobs that a team may run fleet-wide, or `undefined` if it has no limit record. */
export function getTeamLimit(state: ControlState, team: TeamId): number | undefined {
	return getVersionedRecord(state, {kind: 'limit', id: team})?.record.maximumRunningJobs;
}

export function getQueue(state: ControlState, queue: QueueId): QueueRecord | undefined {
	return getVersionedRecord(state, {kind: 'queue', id: queue})?.record;
}

/** Returns a key, or `undefined` if it was revoked or never existed. */
export function getKey(state: ControlState, key: KeyId): KeyRecord | undefined {
	return getVersionedRecord(state, {kind: 'key', id: key})?.record;
}

/**
 * Finds the key with a secret hash.
 *
 * @param secretHash - The SHA-256 hash of the secret that a client sent, in hexadecimal.
 * @returns The key, or `undefined` if there is none. The calling code must compare the whole hash in constant time.
 */
export function findKeyBySecretHash(state: ControlState, secretHash: string): KeyRecord | undefined {
	const id = state.keyBySecretHash.get(secretHash);
	return id === undefined ? undefined : getKey(state, id);
}

/** Returns the pool that currently owns a worker. A worker that is being released still belongs to its old pool. */
export function getPoolOf(state: ControlState, worker: WorkerId): PoolId | undefined {
	return state.ownership.get(worker)?.phase.pool;
}

/** Returns the committed members of a data centre, or `undefined` before the first view. */
export function getView(state: ControlState, dataCentre: DataCentreId): DataCentreView | undefined {
	return state.views.get(dataCentre);
}

/** Returns the latest changes of a record, oldest first. The record may be deleted. */
export function getHistory(state: ControlState, address: RecordAddress): readonly HistoryEntry[] {
	return state.history.get(getRecordKey(address)) ?? [];
}
