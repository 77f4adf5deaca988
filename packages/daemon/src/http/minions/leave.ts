import {toBrand, type MinionId} from '@samphiremill/common';
import * as z from 'zod/mini';
import type {Runtime} from '../../runtime/types.js';
import {sendJson} from '../problem.js';
import {readDocument} from '../read-document.js';
import type {HttpRoute} from '../types.js';

const leaveSchema = z.strictObject({incarnation: z.int().check(z.minimum(0))});

/** `POST /v1/minions/{minion}/leave`: stops new work for the minion; tasks that run there may finish. */
export function createMinionLeaveRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'POST',
		path: '/v1/minions/{minion}/leave',
		async handle(exchange) {
			const document = await readDocument({exchange, schema: leaveSchema, budget: runtime.bodyBudget});
			if (!document.ok) {
				runtime.metrics.count('badRequests');
				return;
			}

			const minion = toBrand<MinionId>(exchange.params.minion ?? '');
			const {incarnation} = document.value;
			runtime.dispatch({
				type: 'minions/leaving', minion, incarnation, nowMs: runtime.timers.getNow(),
			});
			runtime.log.info(`minion ${minion} is leaving`, {minion, incarnation});
			sendJson({res: exchange.res, status: 200, document: {minion, isLeaving: true}});
		},
	};
}
