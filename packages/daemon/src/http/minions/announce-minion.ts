import {
	toBrand, type DataCentreId, type MinionId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {
	getVersionedRecord, isKnownMinion, minionLeaseMs, type MinionAnnouncement,
} from '@samphiremill/core';
import type * as z from 'zod/mini';
import type {Runtime} from '../../runtime/types.js';
import {sendJson, sendProblem} from '../problem.js';
import {readDocument} from '../read-document.js';
import type {HttpRoute} from '../types.js';
import {announcementSchema, nameSchema} from './announcement-schema.js';

const renewalsPerLease = 3;
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

			if (!nameSchema.safeParse(params.minion).success) {
				runtime.metrics.count('badRequests');
				sendProblem(res, {
					status: 400, title: 'The id of the minion is not valid', reason: 'invalidMinion', ran: 'no',
				});
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
