import {toBrand, type JobId} from '@samphiremill/common';
import {getQueue} from '@samphiremill/core';
import type {Runtime} from '../../runtime/types.js';
import {sendJson, sendProblem} from '../problem.js';
import type {HttpRoute} from '../types.js';
import {authorizeTeam} from './authorize-team.js';

/** `DELETE /v1/jobs/{id}`: cancels a job of this entry host. The caller that submitted it gets the outcome. */
export function createCancelJobRoute(runtime: Runtime): HttpRoute {
	return {
		method: 'DELETE',
		path: '/v1/jobs/{job}',
		async handle({req, res, params}) {
			const job = toBrand<JobId>(params.job ?? '');
			const spec = runtime.getState().jobs.jobs.get(job)?.spec;
			const queue = spec === undefined ? undefined : getQueue(runtime.getControl(), spec.queue);
			const team = queue === undefined ? undefined : authorizeTeam({runtime, queue, authorization: req.headers.authorization});
			if (spec === undefined || team?.ok !== true || team.value !== spec.team) {
				sendProblem(res, {
					status: 404, title: 'No such job of this team at this entry host', reason: 'jobUnknown', ran: 'maybe',
				});
				return;
			}

			runtime.dispatch({type: 'jobs/cancelRequested', job, nowMs: runtime.timers.getNow()});
			sendJson({res, status: 202, document: {job, isCancelRequested: true}});
		},
	};
}
