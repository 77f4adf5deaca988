import type {Finding} from '@samphiremill/common';
import {
	apiVersion1, listV1RecordKinds, parseJson, readDocument, type DocumentWrite, type OperatorCommand,
} from '@samphiremill/core';
import {readExpectedRevisions, readChangeOrigin, type ChangeOrigin} from '../read-request.js';
import {createInvalidResponse, createProposalResponse} from '../respond.js';
import type {AuthorizedRequest, OperatorRoute} from '../types.js';

function findPathConflicts(write: DocumentWrite, pathParameters: AuthorizedRequest['params']): readonly Finding[] {
	const isV1 = write.apiVersion === apiVersion1;
	const kind = isV1 ? write.document.kind : write.record.kind;
	const id = isV1 ? write.document.name : write.record.id;
	return [
		...(kind === pathParameters.kind ? [] : [{path: '/kind', message: `is not the ${pathParameters.kind} of the path`}]),
		...(id === pathParameters.id ? [] : [{path: isV1 ? '/name' : '/id', message: `is not the ${pathParameters.id} of the path`}]),
	];
}

function createCommand({write, origin, expectedRevisions}: {
	readonly write: DocumentWrite;
	readonly origin: ChangeOrigin;
	readonly expectedRevisions: readonly number[] | undefined;
}): OperatorCommand {
	if (write.apiVersion === apiVersion1) {
		const {document} = write;
		return {
			type: 'control/putV1Document', ...origin, document, ...(expectedRevisions !== undefined && {expectedRevisions}),
		};
	}

	const expectedRevision = expectedRevisions?.[0];
	const {record} = write;
	return {
		type: 'control/putRecord', ...origin, record, ...(expectedRevision !== undefined && {expectedRevision}),
	};
}

/** Writes one record from a document of either schema version. */
export const putRecordRoute: OperatorRoute = {
	method: 'PUT',
	path: '/v1/records/{kind}/{id}',
	role: 'write',
	async handle(req, context) {
		const json = parseJson(req.body);
		const write = json.ok ? readDocument(json.value) : json;
		if (!write.ok) {
			return createInvalidResponse(write.err);
		}

		const count = write.value.apiVersion === apiVersion1 ? listV1RecordKinds(write.value.document.kind).length : 1;
		const expected = readExpectedRevisions(req, count);
		const origin = readChangeOrigin(req, context);
		const findings = [
			...findPathConflicts(write.value, req.params),
			...(expected.ok ? [] : expected.err),
			...(origin.ok ? [] : origin.err),
		];
		if (!expected.ok || !origin.ok || findings.length > 0) {
			return createInvalidResponse(findings);
		}

		const command = createCommand({write: write.value, origin: origin.value, expectedRevisions: expected.value});
		return createProposalResponse(await context.propose(command));
	},
};
