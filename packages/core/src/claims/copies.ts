/**
 * The second copy of a record: on the next entry host of the ranking, or synced to disk where there
 * is no other host.
 */
import type {MonotonicMs, NodeId} from '@samphiremill/common';
import type {Step} from '../step.js';
import {claimResendMs} from './constants.js';
import {findOwnership} from './ownership.js';
import type {
	AwaitedCopy, ClaimRecord, ClaimsConfig, ClaimsEffect, ClaimsState,
} from './types.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

const createCopyEffects = ({state, record, tries, cfg}: {
	readonly state: ClaimsState;
	readonly record: ClaimRecord;
	readonly tries: number;
	readonly cfg: ClaimsConfig;
}): ClaimsEffect[] => {
	const ownership = findOwnership(state, record.name);
	if (ownership === undefined) {
		return [];
	}

	const {epoch, successors} = ownership;
	const holder = successors[tries % Math.max(1, successors.length)];
	if (holder !== undefined) {
		return [{type: 'peer/send', to: holder, message: {type: 'claims/copy', epoch, record}}];
	}

	return cfg.hasStore ? [{type: 'claims/persist', record}] : [];
};

/**
 * Stores a record and sends its second copy on the way.
 *
 * @param options - The claims of this node, the record, the attempt that waits for it and the time.
 * @returns The state with the copy awaited, and the copy.
 */
export function replicateRecord({state, record, attempt, cfg, nowMs}: {
	readonly state: ClaimsState;
	readonly record: ClaimRecord;
	readonly attempt: number;
	readonly cfg: ClaimsConfig;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	const awaited: AwaitedCopy = {
		name: record.name, version: record.version, attempt, sentAtMs: nowMs, tries: 0,
	};
	return {
		state: {
			...state,
			records: state.records.set(record.name, record),
			awaitedCopies: state.awaitedCopies.set(record.name, awaited),
		},
		effects: createCopyEffects({
			state, record, tries: 0, cfg,
		}),
	};
}

/**
 * Takes the confirmation of a second copy and allows the start that waited for it.
 *
 * @param options - The claims of this node, and the name and version of the copied record.
 * @returns The next state, with the answer to the entry host that waits to start.
 */
export function confirmCopy({state, name, version}: {
	readonly state: ClaimsState;
	readonly name: string;
	readonly version: number;
}): ClaimsStep {
	const awaited = state.awaitedCopies.get(name);
	const record = state.records.get(name);
	if (awaited?.version !== version || record === undefined) {
		return {state, effects: []};
	}

	const next = {...state, awaitedCopies: state.awaitedCopies.delete(name)};
	if (record.stage.type !== 'started') {
		return {state: next, effects: []};
	}

	const {job, claimer} = record;
	return {
		state: next,
		effects: [{
			type: 'peer/send',
			to: claimer,
			message: {
				type: 'claims/startAnswer', job, attempt: awaited.attempt, ok: true,
			},
		}],
	};
}

/**
 * Keeps a copy for its owner, unless a newer one is here already. A copy under another epoch is not
 * confirmed: a new owner may have been told already what this node holds.
 *
 * @param options - The claims of this node, the record, its sender with the epoch it saw, and the time.
 * @returns The next state and the confirmation.
 */
export function receiveCopy({state, epoch, record, from, nowMs}: {
	readonly state: ClaimsState;
	readonly epoch: number;
	readonly record: ClaimRecord;
	readonly from: NodeId;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	if (findOwnership(state, record.name)?.epoch !== epoch) {
		return {state, effects: []};
	}

	return {
		state: mergeRecord({state, record, nowMs}),
		effects: [{
			type: 'peer/send',
			to: from,
			message: {type: 'claims/copied', name: record.name, version: record.version},
		}],
	};
}

/**
 * @param options - The claims of this node, a record from elsewhere and the time.
 * @returns The state with the newer of the record and what was here.
 */
export function mergeRecord({state, record, nowMs}: {
	readonly state: ClaimsState;
	readonly record: ClaimRecord;
	readonly nowMs: MonotonicMs;
}): ClaimsState {
	const known = state.records.get(record.name);
	if (known?.job === record.job && known.version >= record.version) {
		return state;
	}

	// A record that was started outlives one that was only claimed, whoever claimed it.
	if (known !== undefined && known.stage.type !== 'claimed' && record.stage.type === 'claimed') {
		return state;
	}

	return {...state, records: state.records.set(record.name, {...record, changedAtMs: nowMs})};
}

/**
 * @param options - The claims of this node, records from elsewhere and the time.
 * @returns The state with the newer of each record and what was here.
 */
export function mergeRecords({state, records, nowMs}: {
	readonly state: ClaimsState;
	readonly records: readonly ClaimRecord[];
	readonly nowMs: MonotonicMs;
}): ClaimsState {
	let next = state;
	for (const record of records) {
		next = mergeRecord({state: next, record, nowMs});
	}

	return next;
}

/**
 * @param options - The claims of this node, the configuration and the time.
 * @returns The state with unconfirmed copies sent again, each time to the next host of the ranking.
 */
export function resendCopies({state, cfg, nowMs}: {
	readonly state: ClaimsState;
	readonly cfg: ClaimsConfig;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	let {awaitedCopies} = state;
	const effects: ClaimsEffect[] = [];
	for (const awaited of state.awaitedCopies.values()) {
		const record = state.records.get(awaited.name);
		if (record === undefined) {
			awaitedCopies = awaitedCopies.delete(awaited.name);
			continue;
		}

		if (nowMs - awaited.sentAtMs < claimResendMs) {
			continue;
		}

		const tries = awaited.tries + 1;
		awaitedCopies = awaitedCopies.set(awaited.name, {...awaited, tries, sentAtMs: nowMs});
		effects.push(...createCopyEffects({
			state, record, tries, cfg,
		}));
	}

	return {state: {...state, awaitedCopies}, effects};
}
