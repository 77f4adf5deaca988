import {createDocumentResponse, createInvalidResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/**
 * Returns the roles of the entry hosts, their applied log index, and whether this host holds a valid
 * configuration lease. It also counts the entry hosts on which the change at the log index `index` of
 * the query (by default the commit index) is in force. Hosts that have left are not counted.
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
