import {readChangeOrigin} from '../read-request.js';
import {createInvalidResponse, createProposalResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Revokes a key by deleting its record. */
export const revokeKeyRoute: OperatorRoute = {
	method: 'DELETE',
	path: '/v1/keys/{id}',
	role: 'write',
	async handle(req, context) {
		const origin = readChangeOrigin(req, context);
		if (!origin.ok) {
			return createInvalidResponse(origin.err);
		}

		const {id = ''} = req.params;
		return createProposalResponse(await context.propose({
			type: 'control/deleteRecord', ...origin.value, kind: 'key', id,
		}));
	},
};
