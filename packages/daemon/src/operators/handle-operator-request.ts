import {authorizeOperator} from './authorize-operator.js';
import {appliedIndexHeader, freshHeader} from './constants.js';
import {createStartingResponse} from './respond.js';
import type {
	ApiRequest, ApiResponse, OperatorContext, OperatorRoute,
} from './types.js';

function hasRecords(context: OperatorContext): boolean {
	const {appliedIndex, isFresh} = context.getStatus();
	return isFresh || appliedIndex > 0;
}

/**
 * Authorises and answers a request of an operator.
 *
 * @param args.route - The route that matches the request's method and path.
 * @returns The answer. If the operator is authorised and the host has records, its headers state the
 * applied log index and whether the configuration lease is valid.
 */
export async function handleOperatorRequest({route, req, ctx}: {
	readonly route: OperatorRoute;
	readonly req: ApiRequest;
	readonly ctx: OperatorContext;
}): Promise<ApiResponse> {
	const operator = authorizeOperator({req, operators: ctx.operators, role: route.role});
	if (!operator.ok) {
		return operator.err;
	}

	if (route.isAnsweredWithoutRecords !== true && !hasRecords(ctx)) {
		return createStartingResponse();
	}

	const response = await route.handle({...req, operator: operator.value}, ctx);
	const {appliedIndex, isFresh} = ctx.getStatus();
	return {
		...response,
		headers: {...response.headers, [appliedIndexHeader]: String(appliedIndex), [freshHeader]: String(isFresh)},
	};
}
