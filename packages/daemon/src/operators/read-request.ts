/** Parsing of the headers and parameters that several operators' routes share. */
import {
	createFailure, createSuccess, toBrand, type ChangeId, type Finding, type Result,
} from '@samphiremill/common';
import {
	apiVersion1, apiVersion2, recordKinds, type ApiVersion, type RecordKind,
} from '@samphiremill/core';
import {changeIdHeader, maximumChangeIdCharacters} from './constants.js';
import type {AuthorizedRequest, OperatorContext} from './types.js';

const knownVersions: readonly ApiVersion[] = [apiVersion1, apiVersion2];

const etagPattern = /^"(?<revisions>\d+(?:-\d+)*)"$/v;

/** The operator who makes a change, its time and its change id. */
export type ChangeOrigin = {
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: ReturnType<OperatorContext['getWallClockMs']>;
};

/**
 * Reads the change id, and adds the operator and the time.
 *
 * @returns The origin of the change, or a finding. A request without a change id gets a new one, so
 * it cannot be resent safely.
 */
export function readChangeOrigin(req: AuthorizedRequest, context: OperatorContext): Result<ChangeOrigin, readonly Finding[]> {
	const header = req.headers[changeIdHeader];
	if (header !== undefined && (header === '' || header.length > maximumChangeIdCharacters)) {
		return createFailure([{
			path: `/headers/${changeIdHeader}`, message: `must have 1 to ${maximumChangeIdCharacters} characters`,
		}]);
	}

	return createSuccess({
		changeId: header === undefined ? context.createChangeId() : toBrand<ChangeId>(header),
		actor: req.operator.name,
		acceptedAtMs: context.getWallClockMs(),
	});
}

/**
 * Reads `If-Match` and `If-None-Match: *`.
 *
 * @param count - How many records the document covers.
 * @returns The expected revisions, `undefined` for any, or a finding. Revision 0 means that the record
 * must not exist.
 */
export function readExpectedRevisions(
	req: AuthorizedRequest,
	count: number,
): Result<readonly number[] | undefined, readonly Finding[]> {
	if (req.headers['if-none-match'] === '*') {
		return createSuccess(Array.from({length: count}, () => 0));
	}

	const header = req.headers['if-match'];
	if (header === undefined) {
		return createSuccess(undefined);
	}

	const revisions = etagPattern.exec(header)?.groups?.revisions?.split('-').map(Number);
	return revisions?.length === count
		? createSuccess(revisions)
		: createFailure([{path: '/headers/if-match', message: 'must be the entity tag from a read'}]);
}

/**
 * Finds the kind of record that a path segment names.
 */
export function findRecordKind(text: string | undefined): RecordKind | undefined {
	return recordKinds.find(kind => kind === text);
}

/**
 * Reads the schema version for the answer: `apiVersion` in the query, or v1 if `Accept` contains
 * `application/vnd.samphiremill.v1+json`. The default is the current version.
 */
export function readApiVersion(req: AuthorizedRequest): Result<ApiVersion, readonly Finding[]> {
	const query = req.query.get('apiVersion') ?? undefined;
	if (query === undefined) {
		const isV1 = req.headers.accept?.includes('application/vnd.samphiremill.v1+json') ?? false;
		return createSuccess(isV1 ? apiVersion1 : apiVersion2);
	}

	const version = knownVersions.find(known => known === query);
	return version === undefined
		? createFailure([{path: '/query/apiVersion', message: `must be ${apiVersion1} or ${apiVersion2}`}])
		: createSuccess(version);
}
