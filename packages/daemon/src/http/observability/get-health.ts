import type {Runtime} from '../../runtime/types.js';
import {sendJson} from '../problem.js';
import type {HttpRoute} from '../types.js';

/** `GET /v1/health`: reports that the process is running. */
export function createHealthRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'GET',
		path: '/v1/health',
		async handle({res}) {
			sendJson({res, status: 200, document: {node: runtime.settings.node, isStopping: runtime.isStopping()}});
		},
	};
}
