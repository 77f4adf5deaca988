import {defaultShareWindowMs} from '../constants.js';
import {createDocumentResponse, createInvalidResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Returns the fair share, the granted and used slots and the refused jobs of each team in a time window. */
export const getSharesRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/shares',
	role: 'read',
	async handle({query}, context) {
		const windowMs = Number(query.get('windowMs') ?? defaultShareWindowMs);
		if (!Number.isSafeInteger(windowMs) || windowMs < 1) {
			return createInvalidResponse([{path: '/query/windowMs', message: 'must be a whole number of milliseconds'}]);
		}

		return createDocumentResponse({windowMs, items: await context.requestShares({windowMs})});
	},
};
