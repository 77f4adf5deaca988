import type {Runtime} from '../../runtime/types.js';
import {sendJson} from '../problem.js';
import type {HttpRoute} from '../types.js';

/**
 * `GET /v1/ready`: the balancer may send work here. A host whose records are stale still serves open
 * queues, so it stays ready; one that starts or stops is not.
 *
 * @param runtime - The running entry host.
 * @returns The route.
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
