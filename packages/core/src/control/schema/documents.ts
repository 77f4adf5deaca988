/**
 * Converts records to documents of either schema version, and documents to writes of records.
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

/** The ETag, time and author of the last change of a document. */
export type DocumentMetadata = {
	/** The revisions of the records that the document covers, joined by hyphens. */
	readonly etag: string;
	readonly changedAtMs: number;
	readonly changedBy: string;
};

/** A document as returned by reads: the fields of its schema version, and metadata. */
export type RecordDocument = (V1Document | ({readonly apiVersion: typeof apiVersion2} & ControlRecord)) & {
	readonly metadata: DocumentMetadata;
};

/** A document with the revisions in its ETag. */
export type DocumentWithRevisions = {
	readonly document: RecordDocument;
	/** For a v1 team, the revisions of team, share and limit. 0 means that the record does not exist. */
	readonly revisions: readonly number[];
};

/** A validated document to write. */
export type DocumentWrite
	= | {readonly apiVersion: typeof apiVersion2; readonly record: ControlRecord}
		| {readonly apiVersion: typeof apiVersion1; readonly document: V1Document};

const v1Kinds: ReadonlySet<string> = new Set<V1Kind>(['pool', 'team', 'key', 'queue', 'worker', 'wave']);

/** Returns whether the older schema version has documents of the kind. */
export function isV1Kind(kind: RecordKind): kind is V1Kind {
	return v1Kinds.has(kind);
}

/** Lists the kinds of records that a v1 document covers. Their ids are the document's name. */
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
 * Returns a record as a document of the given schema version.
 *
 * @returns The document with its revisions, or `undefined` if the record does not exist or the schema
 *   version does not have the kind.
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
 * Validates a document of either schema version.
 *
 * @param document - Any value, usually parsed JSON.
 * @returns The validated document, or all findings with their paths.
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
 * Converts a v1 document to writes of the records that it covers.
 *
 * @param args.state - The state that the document is merged with.
 * @param args.expectedRevisions - The revisions that the writer read, in the order of the writes.
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
 * Converts the deletion of a v1 document to deletions of the records that it covers.
 *
 * @param args.expectedRevisions - The revisions that the writer read, in the order of the writes.
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

/** Replaces the path of a finding on a record with the path of the field in the older schema version. */
export function toV1Finding({path, message}: Finding): Finding {
	return {path: v1Paths.get(path) ?? path, message};
}
