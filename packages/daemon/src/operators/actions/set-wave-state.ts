import {toBrand, type WaveId} from '@samphiremill/common';
import type {WaveRecord} from '@samphiremill/core';
import {readChangeOrigin} from '../read-request.js';
import {createInvalidResponse, createNotFoundResponse, createProposalResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

const desiredStates: ReadonlyMap<string, WaveRecord['desired']> = new Map([
	['start', 'running'],
	['resume', 'running'],
	['pause', 'paused'],
	['abort', 'aborted'],
]);

/** Starts, pauses, resumes or aborts a wave. */
export const setWaveStateRoute: OperatorRoute = {
	method: 'POST',
	path: '/v1/waves/{id}/{order}',
	role: 'write',
	async handle(req, context) {
		const {id = '', order = ''} = req.params;
		const desired = desiredStates.get(order);
		if (desired === undefined) {
			return createNotFoundResponse(`order ${order}`);
		}

		const origin = readChangeOrigin(req, context);
		if (!origin.ok) {
			return createInvalidResponse(origin.err);
		}

		return createProposalResponse(await context.propose({
			type: 'control/setWaveDesired', ...origin.value, wave: toBrand<WaveId>(id), desired,
		}));
	},
};
