import {controlParts} from '../parts.js';
import type {ControlState} from '../types.js';

/** The format that `serializeControlState` writes. */
export const controlStateFormat = 'samphiremill/control-state/1';

function splitKey(key: string): {readonly kind: string; readonly id: string} {
	const index = key.indexOf('/');
	return {kind: key.slice(0, index), id: key.slice(index + 1)};
}

function serializeParts(state: ControlState): Record<string, unknown> {
	const states: Readonly<Record<string, unknown>> = state;
	return Object.fromEntries(controlParts
		.map(({name}): [string, unknown] => [name, states[name]])
		.filter(([, value]) => value !== undefined));
}

/**
 * Writes the whole state as a document for a snapshot.
 *
 * @param state - The control state.
 * @returns A value that JSON can hold, which `restoreControlState` takes back.
 */
export function serializeControlState(state: ControlState) {
	return {
		format: controlStateFormat,
		records: [...state.records.values()].flatMap(records => [...records.values()]),
		history: [...state.history].map(([key, entries]) => ({...splitKey(key), entries})),
		deleted: [...state.deleted].map(([key, revision]) => ({...splitKey(key), revision})),
		changes: [...state.changes].map(([changeId, change]) => ({changeId, ...change})),
		ownership: [...state.ownership.values()],
		retiredOwnership: [...state.retiredOwnership.values()],
		highestRetiredEpoch: state.highestRetiredEpoch,
		views: [...state.views.values()],
		parts: serializeParts(state),
	};
}
