import {parseDocument, parseJson, recordFields} from '@samphiremill/core';
import * as z from 'zod/mini';
import {hashSecret} from '../authorize-operator.js';
import {readChangeOrigin} from '../read-request.js';
import {createInvalidResponse, createProposalResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

const grantSchema = z.strictObject({id: recordFields.keyId, team: recordFields.teamId});

/**
 * Grants a key to a team. Only the answer to this request contains the secret. A resend with the same
 * change id gets the same secret, because it is derived from the cluster secret, the operator, the
 * change id and the key's id.
 */
export const grantKeyRoute: OperatorRoute = {
	method: 'POST',
	path: '/v1/keys',
	role: 'write',
	async handle(req, context) {
		const json = parseJson(req.body);
		const grant = json.ok ? parseDocument({schema: grantSchema, document: json.value}) : json;
		const origin = readChangeOrigin(req, context);
		if (!grant.ok || !origin.ok) {
			return createInvalidResponse([grant, origin].flatMap(part => part.ok ? [] : part.err));
		}

		const {id, team} = grant.value;
		const secret = context.deriveSecret(JSON.stringify([origin.value.actor, origin.value.changeId, id]));
		const outcome = await context.propose({
			type: 'control/putRecord',
			...origin.value,
			record: {
				kind: 'key', id, team, secretHash: hashSecret(secret),
			},
			expectedRevision: 0,
		});
		const response = createProposalResponse(outcome);
		return response.status < 300 && outcome.type === 'committed'
			? {
				...response,
				headers: {...response.headers, 'cache-control': 'no-store'},
				document: {
					id, team, secret, index: outcome.index,
				},
			}
			: response;
	},
};
