import {isIP} from 'node:net';
import {
	toBrand, type DataCentreId, type MinionId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {
	getVersionedRecord, isKnownMinion, minionLeaseMs, type MinionAnnouncement,
} from '@samphiremill/core';
import * as z from 'zod/mini';
import type {Runtime} from '../../runtime/types.js';
import {sendJson, sendProblem} from '../problem.js';
import {readDocument} from '../read-document.js';
import type {HttpRoute} from '../types.js';

const renewalsPerLease = 3;
const name = z.string().check(z.minLength(1), z.maxLength(128));
const positive = z.int().check(z.minimum(1));

const announcementSchema = z.strictObject({
	incarnation: z.int().check(z.minimum(0)),
	worker: name,
	pool: name,
	dataCentre: name,
	host: z.string().check(z.refine(text => isIP(text) !== 0, 'must be an IP number')),
	port: z.int().check(z.minimum(1), z.maximum(65_535)),
	slots: positive,
	connections: positive,
});

type AnnouncementDocument = z.infer<typeof announcementSchema>;

const createAnnouncement = (minion: MinionId, document: AnnouncementDocument): MinionAnnouncement => ({
	...document,
	minion,
	worker: toBrand<WorkerId>(document.worker),
	pool: toBrand<PoolId>(document.pool),
	dataCentre: toBrand<DataCentreId>(document.dataCentre),
});

/**
 * `PUT /v1/minions/{minion}`: announces a minion or renews its lease. A restarted minion must announce a
 * higher incarnation.
 */
export function createAnnounceMinionRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'PUT',
		path: '/v1/minions/{minion}',
		async handle(exchange) {
			const {res, params} = exchange;
			const document = await readDocument({exchange, schema: announcementSchema, budget: runtime.bodyBudget});
			if (!document.ok) {
				runtime.metrics.count('badRequests');
				return;
			}

			const minion = toBrand<MinionId>(params.minion ?? '');
			const announcement = createAnnouncement(minion, document.value);
			if (announcement.dataCentre !== runtime.settings.dataCentre) {
				sendProblem(res, {
					status: 421, title: `This entry host serves ${runtime.settings.dataCentre}`, reason: 'otherDataCentre', ran: 'no',
				});
				return;
			}

			const isRenewal = isKnownMinion(runtime.getState().membership.minions, {minion, incarnation: announcement.incarnation});
			const nowMs = runtime.timers.getNow();
			runtime.dispatch({type: 'minions/announced', announcement, nowMs});
			if (!isRenewal) {
				const isRecorded = getVersionedRecord(runtime.getControl(), {kind: 'worker', id: announcement.worker}) !== undefined;
				runtime.log.info(`minion ${minion} announced itself on worker ${announcement.worker}`, {...announcement, isRecorded});
			}

			sendJson({res, status: 200, document: {leaseMs: minionLeaseMs, renewEveryMs: minionLeaseMs / renewalsPerLease}});
		},
	};
}
