import {toBrand, type WorkerId} from '@samphiremill/common';
import {parseDocument, parseJson, recordFields} from '@samphiremill/core';
import * as z from 'zod/mini';
import {readChangeOrigin} from '../read-request.js';
import {createInvalidResponse, createProposalResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

const moveSchema = z.strictObject({pool: recordFields.poolId});

/** Sets the home pool of a worker. The move planner then moves the worker there. */
export const moveWorkerRoute: OperatorRoute = {
	method: 'POST',
	path: '/v1/workers/{id}/move',
	role: 'write',
	async handle(req, context) {
		const json = parseJson(req.body);
		const move = json.ok ? parseDocument({schema: moveSchema, document: json.value}) : json;
		const origin = readChangeOrigin(req, context);
		if (!move.ok || !origin.ok) {
			return createInvalidResponse([move, origin].flatMap(part => part.ok ? [] : part.err));
		}

		return createProposalResponse(await context.propose({
			type: 'control/setHomePool', ...origin.value, worker: toBrand<WorkerId>(req.params.id ?? ''), pool: move.value.pool,
		}));
	},
};
