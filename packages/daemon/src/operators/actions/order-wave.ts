import {toBrand, type WaveId} from '@samphiremill/common';
import type {WaveRecord} from '@samphiremill/core';
import {readOrigin} from '../read-request.js';
import {createInvalidResponse, createNotFoundResponse, createProposalResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

const orders: ReadonlyMap<string, WaveRecord['desired']> = new Map([
	['start', 'running'],
	['resume', 'running'],
	['pause', 'paused'],
	['abort', 'aborted'],
]);

/** Starts, pauses, resumes or aborts a wave. */
export const orderWaveRoute: OperatorRoute = {
	method: 'POST',
	path: '/v1/waves/{id}/{order}',
	role: 'write',
	async handle(req, context) {
		const {id = '', order = ''} = req.params;
		const desired = orders.get(order);
		if (desired === undefined) {
			return createNotFoundResponse(`order ${order}`);
		}

		const origin = readOrigin(req, context);
		if (!origin.ok) {
			return createInvalidResponse(origin.err);
		}

		return createProposalResponse(await context.propose({
			type: 'control/setWaveDesired', ...origin.value, wave: toBrand<WaveId>(id), desired,
		}));
	},
};
