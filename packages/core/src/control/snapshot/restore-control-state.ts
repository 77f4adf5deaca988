import {joinPath, type Finding} from '@samphiremill/common';
import {Map as ImmutableMap, OrderedMap} from 'immutable';
import type * as z from 'zod/mini';
import {
	maximumAppliedChanges, appliedChangeSlack, maximumDeletedRecords, maximumHistoryEntriesPerRecord, recordKinds, maximumRetiredWorkers,
} from '../constants.js';
import {createControlState} from '../create-control-state.js';
import {updateSecretIndex} from '../index-secret.js';
import {assignInitialOwner} from '../ownership.js';
import {parseDocument} from '../parse-document.js';
import {controlParts} from '../parts.js';
import {validateRecord} from '../references.js';
import {compareText, getRecordKey, getVersionedRecord} from '../selectors.js';
import type {ControlState, HostOwnership, VersionedRecord} from '../types.js';
import {
	storedChange, storedDeletion, storedHistory, storedOwnership, storedVersionedRecord, storedView,
} from './snapshot-schema.js';

/** A valid state, and what of the document could not be taken over. */
export type RestoredControlState = {
	readonly state: ControlState;
	readonly findings: readonly Finding[];
};

type PlainObject = Readonly<Record<string, unknown>>;

type ItemWithPath<Item> = {readonly item: Item; readonly path: string};

type RestoreContext = {
	readonly fields: PlainObject;
	readonly findings: Finding[];
};

function isPlainObject(value: unknown): value is PlainObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function readItems<Item>({restoration, field, schema}: {
	readonly restoration: RestoreContext;
	readonly field: string;
	readonly schema: z.ZodMiniType<Item>;
}): ReadonlyArray<ItemWithPath<Item>> {
	const {fields, findings} = restoration;
	const items = fields[field] ?? [];
	const path = joinPath('', field);
	if (!Array.isArray(items)) {
		findings.push({path, message: 'must be a list; nothing of it was taken over'});
		return [];
	}

	return items.flatMap((document: unknown, index): ReadonlyArray<ItemWithPath<Item>> => {
		const itemPath = joinPath(path, index);
		const parsed = parseDocument({schema, document});
		if (parsed.ok) {
			return [{item: parsed.value, path: itemPath}];
		}

		findings.push(...parsed.err.map(finding => ({...finding, path: `${itemPath}${finding.path}`})));
		return [];
	});
}

function insertRecord(state: ControlState, versioned: VersionedRecord): ControlState {
	const {kind, id} = versioned.record;
	const records = (state.records.get(kind) ?? ImmutableMap<string, VersionedRecord>()).set(id, versioned);
	return updateSecretIndex({state: {...state, records: state.records.set(kind, records)}, previous: undefined, record: versioned.record});
}

function restoreRecords(state: ControlState, restoration: RestoreContext): ControlState {
	const items = readItems({restoration, field: 'records', schema: storedVersionedRecord});
	// A record is taken over after those that it names, whatever the order in the document.
	const ordered = items.toSorted((left, right) =>
		recordKinds.indexOf(left.item.record.kind) - recordKinds.indexOf(right.item.record.kind)
		|| compareText(left.item.record.id, right.item.record.id));
	let next = state;
	for (const {item, path} of ordered) {
		const candidate = insertRecord(next, item);
		const findings = validateRecord(candidate, item.record);
		if (findings.length === 0) {
			next = candidate;
		}

		restoration.findings.push(...findings.map(finding => ({...finding, path: `${path}/record${finding.path}`})));
	}

	return next;
}

function restoreHistory(state: ControlState, restoration: RestoreContext): ControlState {
	const items = readItems({restoration, field: 'history', schema: storedHistory});
	const deletions = readItems({restoration, field: 'deleted', schema: storedDeletion})
		.map(({item}) => item)
		.filter(item => getVersionedRecord(state, item) === undefined)
		.slice(-maximumDeletedRecords);
	const history = items.map(({item}): [string, typeof item.entries] =>
		[getRecordKey(item), item.entries.slice(-maximumHistoryEntriesPerRecord)]);
	return {
		...state,
		history: ImmutableMap(history),
		deleted: OrderedMap(deletions.map(item => [getRecordKey(item), item.revision])),
	};
}

function arePoolsKnown(state: ControlState, {phase}: HostOwnership): boolean {
	const pools = phase.type === 'releasing' ? [phase.pool, phase.to] : [phase.pool];
	return pools.every(id => getVersionedRecord(state, {kind: 'pool', id}) !== undefined);
}

function restoreOwnership(state: ControlState, restoration: RestoreContext): ControlState {
	const owners = readItems({restoration, field: 'ownership', schema: storedOwnership});
	const retired = readItems({restoration, field: 'retiredOwnership', schema: storedOwnership});
	const {highestRetiredEpoch} = restoration.fields;
	const isEpoch = Number.isSafeInteger(highestRetiredEpoch) && Number(highestRetiredEpoch) >= 0;
	const kept = owners.filter(({item}) => arePoolsKnown(state, item)
		&& getVersionedRecord(state, {kind: 'worker', id: item.worker}) !== undefined);
	const dropped = owners.filter(owner => !kept.includes(owner));
	restoration.findings.push(...dropped.map(({path}) => ({path, message: 'names a worker or pool that does not exist'})));
	const epochs = [isEpoch ? Number(highestRetiredEpoch) : 0, ...dropped.map(({item}) => item.epoch)];
	let next: ControlState = {
		...state,
		ownership: ImmutableMap(kept.map(({item}) => [item.worker, item])),
		retiredOwnership: OrderedMap(retired.slice(-maximumRetiredWorkers).map(({item}) => [item.worker, item])),
		highestRetiredEpoch: Math.max(...epochs),
	};
	for (const {record} of next.records.get('worker')?.values() ?? []) {
		next = record.kind === 'worker' ? assignInitialOwner(next, record) : next;
	}

	return next;
}

function restoreParts(state: ControlState, {fields, findings}: RestoreContext): ControlState {
	const documents = isPlainObject(fields.parts) ? fields.parts : {};
	let next = state;
	for (const part of controlParts) {
		const document = documents[part.name];
		if (document === undefined) {
			continue;
		}

		const restored = part.restoreState(document);
		findings.push(...restored.findings.map(finding => ({...finding, path: `/parts/${part.name}${finding.path}`})));
		next = {...next, ...restored.states};
	}

	return next;
}

/**
 * Takes any old, damaged or foreign document to a valid state. What cannot be taken over is left out
 * and reported; a record whose references are missing is left out too.
 *
 * @param document - Any value, usually what `serializeControlState` wrote.
 * @returns The state, and every finding with its place. Never throws.
 */
export function restoreControlState(document: unknown): RestoredControlState {
	if (!isPlainObject(document)) {
		return {state: createControlState(), findings: [{path: '', message: 'must be an object'}]};
	}

	const restoration: RestoreContext = {fields: document, findings: []};
	let state = restoreRecords(createControlState(), restoration);
	state = restoreHistory(state, restoration);
	state = restoreOwnership(state, restoration);
	const changes = readItems({restoration, field: 'changes', schema: storedChange}).slice(-(maximumAppliedChanges + appliedChangeSlack));
	const views = readItems({restoration, field: 'views', schema: storedView});
	state = {
		...state,
		changes: OrderedMap(changes.map(({item: {changeId, ...change}}) => [changeId, change])),
		views: ImmutableMap(views.map(({item}) => [item.dataCentre, item])),
	};
	return {state: restoreParts(state, restoration), findings: restoration.findings};
}
