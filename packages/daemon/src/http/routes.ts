import {createOperatorHttpRoutes, type OperatorContext} from '../operators/index.js';
import type {Runtime} from '../runtime/types.js';
import {maximumDocumentBytes} from './constants.js';
import {createCancelJobRoute} from './callers/cancel-job.js';
import {createSubmitJobRoute} from './callers/submit-job.js';
import {createAnnounceMinionRoute} from './minions/announce-minion.js';
import {createMinionLeaveRoute} from './minions/leave.js';
import {createReportUsageRoute} from './minions/report-usage.js';
import {createHealthRoute} from './observability/get-health.js';
import {createMetricsRoute} from './observability/get-metrics.js';
import {createReadyRoute} from './observability/get-ready.js';
import type {HttpRoute} from './types.js';

type CreateRoute = (runtime: Runtime) => HttpRoute;

const routeCreators: readonly CreateRoute[] = [
	createSubmitJobRoute,
	createCancelJobRoute,
	createAnnounceMinionRoute,
	createMinionLeaveRoute,
	createReportUsageRoute,
	createHealthRoute,
	createReadyRoute,
	createMetricsRoute,
];

/** Lists all routes of the HTTP interface. */
export function listRoutes(runtime: Runtime, context: OperatorContext): readonly HttpRoute[] {
	return [
		...routeCreators.map(createRoute => createRoute(runtime)),
		...createOperatorHttpRoutes({ctx: context, budget: runtime.bodyBudget, maximumBodyBytes: maximumDocumentBytes}),
	];
}
