/**
 * The second copy of a record. It is kept on the next entry host in the ranking, or synced to disk when
 * there is no other host.
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
 * Stores a record and sends its second copy.
 *
 * @param options - `attempt` is the attempt of the job that may start once the copy is confirmed.
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
 * Handles the confirmation of a second copy and permits the start that waits for it.
 */
export function confirmCopy({state, name, version}: {
	readonly state: ClaimsState;
	readonly name: string;
	readonly version: number;
}): ClaimsStep {
	const awaited = state.awaitedCopies.get(name);
	const record = state.records.get(name);
	// Until all hand-overs have arrived, another owner may have started another job of the key meanwhile.
	if (awaited?.version !== version || record === undefined || state.awaitedHandovers.length > 0) {
		return {state, effects: []};
	}

	const next = {...state, awaitedCopies: state.awaitedCopies.delete(name)};
	if (record.stage.type !== 'started' || record.isFreed === true) {
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
 * Stores a copy for its owner, unless this node has a newer record. A copy under another view epoch is
 * neither stored nor confirmed: this node may already have handed over its records to a new owner. Neither is any
 * copy while this node joins or leaves. Nor is a copy confirmed if this node keeps a later record of another job.
 *
 * @param options - `epoch` is the view epoch that the sender saw.
 */
export function receiveCopy({state, epoch, record, from, nowMs}: {
	readonly state: ClaimsState;
	readonly epoch: number;
	readonly record: ClaimRecord;
	readonly from: NodeId;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	if (findOwnership(state, record.name)?.epoch !== epoch || state.isJoining || state.isLeaving) {
		return {state, effects: []};
	}

	const next = mergeRecord({state, record, nowMs});
	if (next.records.get(record.name)?.job !== record.job) {
		return {state: next, effects: []};
	}

	return {
		state: next,
		effects: [{
			type: 'peer/send',
			to: from,
			message: {type: 'claims/copied', name: record.name, version: record.version},
		}],
	};
}

const hasNotRun = ({stage, isFreed}: ClaimRecord): boolean => stage.type === 'claimed' || isFreed === true;

const getEpoch = ({epoch}: ClaimRecord): number => epoch ?? 0;

/**
 * Whether a record of another job may replace a known one. Both may be started: a cut-off owner records starts that nobody
 * confirms. The owner of a later epoch had been told of every start that was confirmed before.
 */
const replacesOtherJob = (known: ClaimRecord, record: ClaimRecord): boolean => {
	const isKnownUnsent = hasNotRun(known);
	const isUnsent = hasNotRun(record);
	return isKnownUnsent === isUnsent ? getEpoch(record) >= getEpoch(known) : isKnownUnsent;
};

/** Merges a record of another node, so that the newer of the two records is kept. */
export function mergeRecord({state, record, nowMs}: {
	readonly state: ClaimsState;
	readonly record: ClaimRecord;
	readonly nowMs: MonotonicMs;
}): ClaimsState {
	const known = state.records.get(record.name);
	if (known?.job === record.job && known.version >= record.version) {
		return state;
	}

	if (known !== undefined && known.job !== record.job && !replacesOtherJob(known, record)) {
		return state;
	}

	const isOtherJob = known !== undefined && known.job !== record.job;
	return {
		...state,
		records: state.records.set(record.name, {...record, changedAtMs: nowMs}),
		// A confirmation of the replaced record must not permit a start of the job that has taken its place.
		awaitedCopies: isOtherJob ? state.awaitedCopies.delete(record.name) : state.awaitedCopies,
	};
}

/** Merges the records of another node, see `mergeRecord`. */
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

/** Sends each overdue unconfirmed copy again, each time to the next host in the ranking. */
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
