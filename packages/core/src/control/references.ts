/**
 * Which records name which others, and what is wrong with that.
 */
import {
	assertNever, joinPath, toBrand, type Finding, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {openTeamId, recordKinds} from './constants.js';
import {getVersionedRecord, listVersionedRecords} from './selectors.js';
import type {ControlRecord, ControlState, RecordKind} from './types.js';

/** One mention of another record, with its place. */
type Reference = {
	readonly path: string;
	readonly kind: RecordKind;
	readonly id: string;
};

type RecordAddress = {readonly kind: RecordKind; readonly id: string};

function listPoolReferences(pools: readonly PoolId[]): readonly Reference[] {
	return pools.map((id, index) => ({path: joinPath('/pools', index), kind: 'pool', id}));
}

/**
 * @param record - Any record.
 * @returns Every other record that it names, with the place.
 */
export function listReferences(record: ControlRecord): readonly Reference[] {
	switch (record.kind) {
		case 'pool':
		case 'team': {
			return [];
		}

		case 'share':
		case 'limit': {
			return [{path: '/id', kind: 'team', id: record.id}];
		}

		case 'key': {
			return [{path: '/team', kind: 'team', id: record.team}];
		}

		case 'queue': {
			return [{path: '/pool', kind: 'pool', id: record.pool}];
		}

		case 'worker': {
			return [{path: '/homePool', kind: 'pool', id: record.homePool}];
		}

		case 'wave': {
			const workers = (record.workers ?? []).map((id, index): Reference =>
				({path: joinPath('/workers', index), kind: 'worker', id}));
			return [...listPoolReferences(record.pools), ...workers];
		}

		default: {
			return assertNever(record);
		}
	}
}

function validateKey(state: ControlState, record: ControlRecord): readonly Finding[] {
	if (record.kind !== 'key') {
		return [];
	}

	const findings: Finding[] = [];
	if (state.keyBySecretHash.get(record.secretHash) !== record.id) {
		findings.push({path: '/secretHash', message: 'belongs to another key'});
	}

	if (record.team === openTeamId) {
		findings.push({path: '/team', message: `${openTeamId} is the account of open queues and has no keys`});
	}

	return findings;
}

/**
 * Finds what a record says that the other records do not bear out.
 *
 * @param state - The control state in which the record is written.
 * @param record - The written record.
 * @returns Every finding with its place in the record.
 */
export function validateRecord(state: ControlState, record: ControlRecord): readonly Finding[] {
	const dangling = listReferences(record)
		.filter(({kind, id}) => getVersionedRecord(state, {kind, id}) === undefined)
		.map(({path, kind, id}) => ({path, message: `there is no ${kind} ${id}`}));
	return [...dangling, ...validateKey(state, record)];
}

function findOwnedHosts(state: ControlState, pool: string): readonly Finding[] {
	const owned = [...state.ownership.values()]
		.filter(({phase}) => phase.pool === pool || (phase.type === 'releasing' && phase.to === pool));
	return owned.map(({worker}) => ({path: '', message: `pool ${pool} still owns worker ${worker}`}));
}

function findUnfinishedMove(state: ControlState, worker: string): readonly Finding[] {
	const phase = state.retiredOwnership.get(toBrand<WorkerId>(worker))?.phase;
	return phase?.type === 'releasing'
		? [{path: '', message: `worker ${worker} is on its way from pool ${phase.pool} to pool ${phase.to}`}]
		: [];
}

function findOwnershipFindings(state: ControlState, {kind, id}: RecordAddress): readonly Finding[] {
	if (kind === 'pool') {
		return findOwnedHosts(state, id);
	}

	return kind === 'worker' ? findUnfinishedMove(state, id) : [];
}

/**
 * Finds what still needs a deleted record.
 *
 * @param state - The control state in which the record is deleted.
 * @param address - The kind and id of the record.
 * @returns One finding for each record that names it.
 */
export function findReferrers(
	state: ControlState,
	address: RecordAddress,
): readonly Finding[] {
	const referrers = recordKinds
		.flatMap(kind => listVersionedRecords(state, kind))
		.flatMap(({record}) => listReferences(record)
			.filter(({kind, id}) => kind === address.kind && id === address.id)
			.map(({path}) => ({
				path: '',
				message: `${address.kind} ${address.id} is named by ${record.kind} ${record.id} at ${path}`,
			})));
	return [...referrers, ...findOwnershipFindings(state, address)];
}
