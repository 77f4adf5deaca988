import {
	apiVersion1, isV1Kind, listV1RecordKinds, type OperatorCommand, type RecordKind,
} from '@samphiremill/core';
import {
	findRecordKind, readApiVersion, readExpectedRevisions, readChangeOrigin, type ChangeOrigin,
} from '../read-request.js';
import {
	createInUseResponse, createInvalidResponse, createNotFoundResponse, createProposalResponse,
} from '../respond.js';
import type {OperatorRoute} from '../types.js';

function createCommand({kind, id, isV1, origin, expectedRevisions}: {
	readonly kind: RecordKind;
	readonly id: string;
	readonly isV1: boolean;
	readonly origin: ChangeOrigin;
	readonly expectedRevisions: readonly number[] | undefined;
}): OperatorCommand {
	if (isV1 && isV1Kind(kind)) {
		return {
			type: 'control/deleteV1Document', ...origin, kind, id, ...(expectedRevisions !== undefined && {expectedRevisions}),
		};
	}

	const expectedRevision = expectedRevisions?.[0];
	return {
		type: 'control/deleteRecord', ...origin, kind, id, ...(expectedRevision !== undefined && {expectedRevision}),
	};
}

/** Deletes one record. In schema version v1 a team is deleted together with its share and limit. */
export const deleteRecordRoute: OperatorRoute = {
	method: 'DELETE',
	path: '/v1/records/{kind}/{id}',
	role: 'write',
	async handle(req, context) {
		const {kind: kindText = '', id = ''} = req.params;
		const kind = findRecordKind(kindText);
		if (kind === undefined) {
			return createNotFoundResponse(`kind ${kindText}`);
		}

		const apiVersion = readApiVersion(req);
		const isV1 = apiVersion.ok && apiVersion.value === apiVersion1;
		const expected = readExpectedRevisions(req, isV1 && isV1Kind(kind) ? listV1RecordKinds(kind).length : 1);
		const origin = readChangeOrigin(req, context);
		if (!apiVersion.ok || !expected.ok || !origin.ok) {
			return createInvalidResponse([apiVersion, expected, origin].flatMap(part => part.ok ? [] : part.err));
		}

		const command = createCommand({
			kind, id, isV1, origin: origin.value, expectedRevisions: expected.value,
		});
		const outcome = await context.propose(command);
		return outcome.type === 'committed' && outcome.answer.type === 'invalid'
			? createInUseResponse(outcome.answer.findings)
			: createProposalResponse(outcome);
	},
};
