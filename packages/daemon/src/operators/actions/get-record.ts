import {getDocument} from '@samphiremill/core';
import {findRecordKind, readApiVersion} from '../read-request.js';
import {
	createDocumentResponse, createInvalidResponse, createNotFoundResponse, formatEtag,
} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Returns one record in either schema version. */
export const getRecordRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/records/{kind}/{id}',
	role: 'read',
	handle({params, ...req}, context) {
		const {kind: kindText = '', id = ''} = params;
		const apiVersion = readApiVersion({...req, params});
		if (!apiVersion.ok) {
			return createInvalidResponse(apiVersion.err);
		}

		const kind = findRecordKind(kindText);
		const found = kind === undefined
			? undefined
			: getDocument({
				state: context.getControlState(), apiVersion: apiVersion.value, kind, id,
			});
		return found === undefined
			? createNotFoundResponse(`${kindText} ${id} in ${apiVersion.value}`)
			: createDocumentResponse(found.document, {etag: formatEtag(found.revisions)});
	},
};
