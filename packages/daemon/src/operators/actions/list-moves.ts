import {createDocumentResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';
import {listWorkerReports} from './list-workers.js';

/** Lists the workers that are being moved to another pool or are not in their home pool. */
export const listMovesRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/moves',
	role: 'read',
	handle(_req, context) {
		const items = listWorkerReports(context)
			.filter(({movingTo, pool, homePool}) => movingTo !== undefined || pool !== homePool);
		return createDocumentResponse({items});
	},
};
