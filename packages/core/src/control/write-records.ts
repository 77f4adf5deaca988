/**
 * Applies the writes of one operator's change: all of them, or none.
 */
import {
	assertNever, toBrand, type ChangeId, type Finding, type WallClockMs, type WorkerId,
} from '@samphiremill/common';
import {Map as ImmutableMap} from 'immutable';
import {toCanonicalJson} from './canonical-json.js';
import {maximumDeletedRecords, maximumHistoryEntriesPerRecord} from './constants.js';
import {updateSecretIndex} from './index-secret.js';
import {assignInitialOwner, retireOwnership} from './ownership.js';
import {validateRecord, findReferrers} from './references.js';
import {getHistory, getRecordKey, getVersionedRecord} from './selectors.js';
import type {
	ControlState, ControlStep, HistoryEntry, RecordChange, RecordConflict, RecordKind, RecordWrite,
	VersionedRecord,
} from './types.js';

/** Who changed something, when and under which change id. */
type Origin = {
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
};

type RecordAddress = {readonly kind: RecordKind; readonly id: string};

function getAddress(write: RecordWrite): RecordAddress {
	return write.type === 'put' ? write.record : write;
}

function requiresExistingRecord(write: RecordWrite): boolean {
	return write.type === 'delete' || (write.type === 'expect' && write.isRequired === true);
}

function findConflicts(state: ControlState, writes: readonly RecordWrite[]): readonly RecordConflict[] {
	const conflicts: RecordConflict[] = [];
	for (const write of writes) {
		const {kind, id} = getAddress(write);
		const {expectedRevision} = write;
		const current = getVersionedRecord(state, {kind, id});
		if (expectedRevision !== undefined && expectedRevision !== (current?.revision ?? 0)) {
			conflicts.push({
				kind, id, expectedRevision, ...(current !== undefined && {current}),
			});
		}
	}

	return conflicts;
}

function getLastRevision(state: ControlState, address: RecordAddress): number {
	const current = getVersionedRecord(state, address)?.revision ?? 0;
	return Math.max(current, getHistory(state, address).at(-1)?.revision ?? 0);
}

function addHistory({state, address, entry}: {
	readonly state: ControlState;
	readonly address: RecordAddress;
	readonly entry: HistoryEntry;
}): ControlState {
	const entries = [...getHistory(state, address), entry].slice(-maximumHistoryEntriesPerRecord);
	return {...state, history: state.history.set(getRecordKey(address), entries)};
}

type WriteStep = {readonly state: ControlState; readonly change: RecordChange};

function putRecord({state, write: {record, isRenewal}, origin}: {
	readonly state: ControlState;
	readonly write: Extract<RecordWrite, {type: 'put'}>;
	readonly origin: Origin;
}): WriteStep {
	const {kind, id} = record;
	const previous = getVersionedRecord(state, record);
	if (isRenewal !== true && previous !== undefined && toCanonicalJson(previous.record) === toCanonicalJson(record)) {
		const {revision} = previous;
		return {
			state,
			change: {
				kind, id, revision, outcome: 'unchanged',
			},
		};
	}

	const revision = getLastRevision(state, record) + 1;
	const metadata = {
		revision, changedAtMs: origin.acceptedAtMs, changedBy: origin.actor, changeId: origin.changeId,
	};
	const records = (state.records.get(kind) ?? ImmutableMap<string, VersionedRecord>()).set(id, {record, ...metadata});
	const written = {
		...state,
		records: state.records.set(kind, records),
		deleted: state.deleted.delete(getRecordKey(record)),
	};
	const logged = addHistory({state: written, address: record, entry: {...metadata, record}});
	const indexed = updateSecretIndex({state: logged, previous: previous?.record, record});
	return {
		state: record.kind === 'worker' ? assignInitialOwner(indexed, record) : indexed,
		change: {
			kind, id, revision, outcome: previous === undefined ? 'created' : 'updated',
		},
	};
}

function dropOldestDeletedRecord(state: ControlState): ControlState {
	const oldest = state.deleted.keySeq().first();
	if (state.deleted.size <= maximumDeletedRecords || oldest === undefined) {
		return state;
	}

	return {...state, deleted: state.deleted.delete(oldest), history: state.history.delete(oldest)};
}

function deleteRecord({state, address, origin}: {
	readonly state: ControlState;
	readonly address: RecordAddress;
	readonly origin: Origin;
}): WriteStep {
	const {kind, id} = address;
	const previous = getVersionedRecord(state, address);
	const revision = getLastRevision(state, address) + 1;
	const records = (state.records.get(kind) ?? ImmutableMap<string, VersionedRecord>()).delete(id);
	const written = {
		...state,
		records: state.records.set(kind, records),
		deleted: state.deleted.set(getRecordKey(address), revision),
	};
	const entry = {
		revision, changedAtMs: origin.acceptedAtMs, changedBy: origin.actor, changeId: origin.changeId,
	};
	const logged = dropOldestDeletedRecord(addHistory({state: written, address, entry}));
	const indexed = updateSecretIndex({state: logged, previous: previous?.record, record: undefined});
	return {
		state: kind === 'worker' ? retireOwnership(indexed, toBrand<WorkerId>(id)) : indexed,
		change: {
			kind, id, revision, outcome: 'deleted',
		},
	};
}

function applyWrite({state, write, origin}: {
	readonly state: ControlState;
	readonly write: RecordWrite;
	readonly origin: Origin;
}): WriteStep {
	switch (write.type) {
		case 'put': {
			return putRecord({state, write, origin});
		}

		case 'delete': {
			return deleteRecord({state, address: write, origin});
		}

		case 'expect': {
			const {kind, id} = write;
			const revision = getVersionedRecord(state, write)?.revision ?? 0;
			return {
				state,
				change: {
					kind, id, revision, outcome: 'unchanged',
				},
			};
		}

		default: {
			return assertNever(write);
		}
	}
}

function validateWrites(state: ControlState, writes: readonly RecordWrite[]): readonly Finding[] {
	return writes.flatMap(write => {
		switch (write.type) {
			case 'put': {
				return validateRecord(state, write.record);
			}

			case 'delete': {
				return findReferrers(state, write);
			}

			case 'expect': {
				return [];
			}

			default: {
				return assertNever(write);
			}
		}
	});
}

/**
 * Applies several writes as one. Revisions are compared first, references last, so that writes of
 * one change may refer to each other.
 *
 * @param args.state - The state before.
 * @param args.writes - The writes, in order.
 * @param args.origin - Who changed it, when and under which change id.
 * @returns The state after all writes with their outcomes, or the unchanged state and why.
 */
export function writeRecords({state, writes, origin}: {
	readonly state: ControlState;
	readonly writes: readonly RecordWrite[];
	readonly origin: Origin;
}): ControlStep {
	const conflicts = findConflicts(state, writes);
	if (conflicts.length > 0) {
		return {state, answer: {type: 'conflict', conflicts}};
	}

	const missing = writes.find(write => requiresExistingRecord(write) && getVersionedRecord(state, getAddress(write)) === undefined);
	if (missing !== undefined) {
		const {kind, id} = getAddress(missing);
		return {state, answer: {type: 'notFound', kind, id}};
	}

	let next = state;
	const changes: RecordChange[] = [];
	for (const write of writes) {
		const step = applyWrite({state: next, write, origin});
		next = step.state;
		changes.push(step.change);
	}

	const findings = validateWrites(next, writes);
	return findings.length > 0
		? {state, answer: {type: 'invalid', findings}}
		: {state: next, answer: {type: 'accepted', changes}};
}
