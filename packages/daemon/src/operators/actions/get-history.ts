import {getHistory} from '@samphiremill/core';
import {findRecordKind} from '../read-request.js';
import {createDocumentResponse, createNotFoundResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Returns the latest changes of one record, oldest first. Deleted records have a history too. */
export const getHistoryRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/records/{kind}/{id}/history',
	role: 'read',
	handle({params}, context) {
		const {kind: kindText = '', id = ''} = params;
		const kind = findRecordKind(kindText);
		const entries = kind === undefined ? [] : getHistory(context.getControlState(), {kind, id});
		return entries.length === 0
			? createNotFoundResponse(`${kindText} ${id}`)
			: createDocumentResponse({entries});
	},
};
