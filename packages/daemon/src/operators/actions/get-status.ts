import {createDocumentResponse, createInvalidResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/**
 * Tells the entry hosts' roles, freshness and applied configuration. With `index` in the query it
 * tells on how many of the entry hosts that have not left the change of that log index is in force.
 */
export const getStatusRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/status',
	role: 'read',
	isAnsweredWithoutRecords: true,
	async handle({query}, context) {
		const status = await context.requestFleetStatus();
		const index = Number(query.get('index') ?? status.commitIndex);
		if (!Number.isSafeInteger(index) || index < 0) {
			return createInvalidResponse([{path: '/query/index', message: 'must be a log index'}]);
		}

		const present = status.hosts.filter(({health}) => health !== 'left');
		const hosts = present.filter(({appliedIndex}) => appliedIndex >= index).length;
		return createDocumentResponse({...status, inForce: {index, hosts, ofHosts: present.length}});
	},
};
