import type {Runtime} from '../../runtime/types.js';
import {sendJson} from '../problem.js';
import type {HttpRoute} from '../types.js';

/** `GET /v1/metrics`: returns the counters and histograms since the process started. */
export function createMetricsRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'GET',
		path: '/v1/metrics',
		async handle({res}) {
			sendJson({res, status: 200, document: runtime.metrics.getReport()});
		},
	};
}
