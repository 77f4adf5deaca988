import {listVersionedRecords, getDocument} from '@samphiremill/core';
import {findRecordKind, readApiVersion} from '../read-request.js';
import {createDocumentResponse, createInvalidResponse, createNotFoundResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Lists all records of one kind, sorted by id, in either schema version. */
export const listRecordsRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/records/{kind}',
	role: 'read',
	handle(req, context) {
		const apiVersion = readApiVersion(req);
		if (!apiVersion.ok) {
			return createInvalidResponse(apiVersion.err);
		}

		const kind = findRecordKind(req.params.kind);
		if (kind === undefined) {
			return createNotFoundResponse(`kind ${req.params.kind ?? ''}`);
		}

		const state = context.getControlState();
		const items = listVersionedRecords(state, kind).flatMap(({record}) => {
			const found = getDocument({
				state, apiVersion: apiVersion.value, kind, id: record.id,
			});
			return found === undefined ? [] : [found.document];
		});
		return createDocumentResponse({items});
	},
};
