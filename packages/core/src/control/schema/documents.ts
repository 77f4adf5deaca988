/**
 * Records as documents of either schema version, and documents as commands.
 */
import {
	createFailure, createSuccess, type Finding, type Result,
} from '@samphiremill/common';
import {parseDocument} from '../parse-document.js';
import {getVersionedRecord, type VersionedRecordOf} from '../selectors.js';
import type {
	ApiVersion, ControlRecord, ControlState, RecordKind, RecordWrite, VersionedRecord,
} from '../types.js';
import {mergeV1Document, toV1Document, type V1Records} from './v1-merge.js';
import {
	apiVersion1, v1Schema, type V1Document, type V1Kind,
} from './v1-schema.js';
import {apiVersion2, v2Schema} from './v2-schema.js';

/** When and by whom a document was last changed. */
export type DocumentMetadata = {
	/** The revisions of the records that the document stands for, joined by hyphens. */
	readonly etag: string;
	readonly changedAtMs: number;
	readonly changedBy: string;
};

/** A document as it is read: the fields of its schema version, and metadata. */
export type RecordDocument = (V1Document | ({readonly apiVersion: typeof apiVersion2} & ControlRecord)) & {
	readonly metadata: DocumentMetadata;
};

/** A document with the revisions that its ETag names. */
export type DocumentWithRevisions = {
	readonly document: RecordDocument;
	/** Those of a v1 team: team, share, limit. 0 stands for a record that does not exist. */
	readonly revisions: readonly number[];
};

/** What a checked document asks for. */
export type DocumentWrite
	= | {readonly apiVersion: typeof apiVersion2; readonly record: ControlRecord}
		| {readonly apiVersion: typeof apiVersion1; readonly document: V1Document};

const v1Kinds: ReadonlySet<string> = new Set<V1Kind>(['pool', 'team', 'key', 'queue', 'worker', 'wave']);

/**
 * @param kind - A kind of records.
 * @returns Whether the older schema version has documents of that kind.
 */
export function isV1Kind(kind: RecordKind): kind is V1Kind {
	return v1Kinds.has(kind);
}

/**
 * Lists the records that one v1 document stands for.
 *
 * @param kind - The document's kind.
 * @returns The kinds of records, all under the document's name.
 */
export function listV1RecordKinds(kind: V1Kind): readonly RecordKind[] {
	return kind === 'team' ? ['team', 'share', 'limit'] : [kind];
}

function listVersioned({state, kind, id}: {
	readonly state: ControlState;
	readonly kind: V1Kind;
	readonly id: string;
}): ReadonlyArray<VersionedRecordOf<RecordKind> | undefined> {
	return listV1RecordKinds(kind).map(recordKind => getVersionedRecord(state, {kind: recordKind, id}));
}

function toV1Records(records: ReadonlyArray<ControlRecord | undefined>): V1Records {
	const present = records.filter(record => record !== undefined);
	return Object.fromEntries(present.map(record => [record.kind, record]));
}

function formatRevisions(revisions: readonly number[]): string {
	return revisions.join('-');
}

function getMetadata(versioned: readonly VersionedRecord[], revisions: readonly number[]): DocumentMetadata {
	const latest = versioned.toSorted((left, right) => right.changedAtMs - left.changedAtMs)[0];
	return {
		etag: formatRevisions(revisions),
		changedAtMs: latest?.changedAtMs ?? 0,
		changedBy: latest?.changedBy ?? '',
	};
}

function getV1Document({state, kind, id}: {
	readonly state: ControlState;
	readonly kind: RecordKind;
	readonly id: string;
}): DocumentWithRevisions | undefined {
	if (!isV1Kind(kind)) {
		return undefined;
	}

	const versioned = listVersioned({state, kind, id});
	const present = versioned.filter(item => item !== undefined);
	const document = toV1Document(toV1Records(versioned.map(item => item?.record)));
	const revisions = versioned.map(item => item?.revision ?? 0);
	return document === undefined
		? undefined
		: {document: {...document, metadata: getMetadata(present, revisions)}, revisions};
}

/**
 * Shows one record as a document.
 *
 * @param args.state - The control state.
 * @param args.apiVersion - The schema version to show it in.
 * @returns The document with its revisions, or `undefined` where there is no such record, or the
 *   schema version has no such kind.
 */
export function getDocument({state, apiVersion, kind, id}: {
	readonly state: ControlState;
	readonly apiVersion: ApiVersion;
	readonly kind: RecordKind;
	readonly id: string;
}): DocumentWithRevisions | undefined {
	if (apiVersion === apiVersion1) {
		return getV1Document({state, kind, id});
	}

	const versioned = getVersionedRecord(state, {kind, id});
	return versioned === undefined
		? undefined
		: {
			document: {apiVersion, ...versioned.record, metadata: getMetadata([versioned], [versioned.revision])},
			revisions: [versioned.revision],
		};
}

function getApiVersion(document: unknown): unknown {
	return typeof document === 'object' && document !== null && 'apiVersion' in document
		? document.apiVersion
		: undefined;
}

/**
 * Checks a document of either schema version.
 *
 * @param document - Any value, usually parsed JSON.
 * @returns What the document asks for, or every finding with its place.
 */
export function readDocument(document: unknown): Result<DocumentWrite, readonly Finding[]> {
	const version = getApiVersion(document);
	if (version === apiVersion1) {
		const parsed = parseDocument({schema: v1Schema, document});
		return parsed.ok ? createSuccess({apiVersion: apiVersion1, document: parsed.value}) : parsed;
	}

	if (version !== apiVersion2) {
		return createFailure([{path: '/apiVersion', message: `must be ${apiVersion1} or ${apiVersion2}`}]);
	}

	const parsed = parseDocument({schema: v2Schema, document});
	if (!parsed.ok) {
		return parsed;
	}

	const {apiVersion, metadata, ...record} = parsed.value;
	return createSuccess({apiVersion, record});
}

function toWrite({kind, id, before, after}: {
	readonly kind: RecordKind;
	readonly id: string;
	readonly before: ControlRecord | undefined;
	readonly after: ControlRecord | undefined;
}): RecordWrite {
	if (after !== undefined) {
		return {type: 'put', record: after};
	}

	return before === undefined ? {type: 'expect', kind, id} : {type: 'delete', kind, id};
}

function withExpectedRevision(write: RecordWrite, expectedRevision: number | undefined): RecordWrite {
	return expectedRevision === undefined ? write : {...write, expectedRevision};
}

/**
 * Turns a v1 document into writes of the records that it stands for.
 *
 * @param args.state - The state that the document is merged with.
 * @param args.expectedRevisions - The revisions that the writer saw, in the order of the writes.
 * @returns One write for each record, in the order of `listV1RecordKinds`.
 */
export function planV1Put({state, document, expectedRevisions}: {
	readonly state: ControlState;
	readonly document: V1Document;
	readonly expectedRevisions?: readonly number[];
}): readonly RecordWrite[] {
	const {kind, name: id} = document;
	const current = toV1Records(listVersioned({state, kind, id}).map(item => item?.record));
	const merged = mergeV1Document(document, current);
	return listV1RecordKinds(kind).map((recordKind, index) => {
		const write = toWrite({
			kind: recordKind, id, before: current[recordKind], after: merged[recordKind],
		});
		return withExpectedRevision(write, expectedRevisions?.[index]);
	});
}

/**
 * Turns the deletion of a v1 document into deletions of the records that it stands for.
 *
 * @param args.state - The state before.
 * @param args.expectedRevisions - The revisions that the writer saw, in the order of the writes.
 * @returns One write for each record, in the order of `listV1RecordKinds`.
 */
export function planV1Delete({state, kind, id, expectedRevisions}: {
	readonly state: ControlState;
	readonly kind: V1Kind;
	readonly id: string;
	readonly expectedRevisions?: readonly number[];
}): readonly RecordWrite[] {
	return listV1RecordKinds(kind).map((recordKind, index) => {
		const isAlreadyAbsent = recordKind !== kind && getVersionedRecord(state, {kind: recordKind, id}) === undefined;
		const write: RecordWrite = isAlreadyAbsent ? {type: 'expect', kind: recordKind, id} : {type: 'delete', kind: recordKind, id};
		return withExpectedRevision(write, expectedRevisions?.[index]);
	});
}

const v1Paths: ReadonlyMap<string, string> = new Map([
	['/id', '/name'],
	['/homePool', '/pool'],
	['/pools/0', '/pool'],
]);

/**
 * @param finding - A finding about a record in the internal form.
 * @returns The finding with the place that the field has in the older schema version.
 */
export function toV1Finding({path, message}: Finding): Finding {
	return {path: v1Paths.get(path) ?? path, message};
}
