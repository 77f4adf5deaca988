import type {Runtime} from '../../runtime/types.js';
import {sendJson} from '../problem.js';
import type {HttpRoute} from '../types.js';

/**
 * `GET /v1/ready`: reports whether a load balancer may send work to this host. A host with stale records
 * still serves open queues, so it is ready; a host that is starting or stopping is not.
 */
export function createReadyRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'GET',
		path: '/v1/ready',
		async handle({res}) {
			const configuration = runtime.getFreshness();
			const isReady = configuration !== 'starting' && !runtime.isStopping();
			sendJson({res, status: isReady ? 200 : 503, document: {isReady, configuration, isStopping: runtime.isStopping()}});
		},
	};
}
