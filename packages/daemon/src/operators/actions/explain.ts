import {toBrand, type JobId, type WorkerId} from '@samphiremill/common';
import {createDocumentResponse, createNotFoundResponse} from '../respond.js';
import type {
	ApiResponse, ExplainSubject, OperatorContext, OperatorRoute,
} from '../types.js';

function createExplanationResponse({ctx, subject, name}: {
	readonly ctx: OperatorContext;
	readonly subject: ExplainSubject;
	readonly name: string;
}): ApiResponse {
	const explanation = ctx.explain(subject);
	return explanation === undefined
		? createNotFoundResponse(`recorded decision on ${name}`)
		: createDocumentResponse({subject, ...explanation});
}

/** Returns the recorded decisions on one job, with their reasons. */
export const explainJobRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/explain/jobs/{id}',
	role: 'read',
	handle({params}, context) {
		const {id = ''} = params;
		return createExplanationResponse({ctx: context, subject: {type: 'job', job: toBrand<JobId>(id)}, name: `job ${id}`});
	},
};

/** Returns the recorded decisions on one worker, with their reasons. */
export const explainWorkerRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/explain/workers/{id}',
	role: 'read',
	handle({params}, context) {
		const {id = ''} = params;
		return createExplanationResponse({ctx: context, subject: {type: 'worker', worker: toBrand<WorkerId>(id)}, name: `worker ${id}`});
	},
};
