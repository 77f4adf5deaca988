import {toBrand, type QueueId, type TeamId} from '@samphiremill/common';
import * as z from 'zod/mini';
import type {Runtime} from '../../runtime/types.js';
import {sendJson} from '../problem.js';
import {readDocument} from '../read-document.js';
import type {HttpRoute} from '../types.js';
import {maximumUsage} from './announcement-schema.js';

const maximumReportsPerRequest = 1000;
const amount = z.number().check(z.minimum(0), z.maximum(maximumUsage));
const usageSchema = z.strictObject({
	usages: z.array(z.strictObject({
		queue: z.string(), team: z.string(), cores: amount, memoryMb: amount, runTimeMs: amount,
	})).check(z.maxLength(maximumReportsPerRequest)),
});

/** `POST /v1/minions/{minion}/usage`: records the resources that finished tasks used. Reports may arrive late. */
export function createReportUsageRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'POST',
		path: '/v1/minions/{minion}/usage',
		async handle(exchange) {
			const document = await readDocument({exchange, schema: usageSchema, budget: runtime.bodyBudget});
			if (!document.ok) {
				runtime.metrics.count('badRequests');
				return;
			}

			const usages = document.value.usages.map(usage => ({
				...usage, queue: toBrand<QueueId>(usage.queue), team: toBrand<TeamId>(usage.team),
			}));
			runtime.dispatch({type: 'jobs/usageReported', usages, nowMs: runtime.timers.getNow()});
			sendJson({res: exchange.res, status: 200, document: {accepted: usages.length}});
		},
	};
}
