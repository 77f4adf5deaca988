import {deleteRecordRoute} from './actions/delete-record.js';
import {explainJobRoute, explainWorkerRoute} from './actions/explain.js';
import {getHistoryRoute} from './actions/get-history.js';
import {getRecordRoute} from './actions/get-record.js';
import {getSharesRoute} from './actions/get-shares.js';
import {getStatusRoute} from './actions/get-status.js';
import {getWaveProgressRoute} from './actions/get-wave-progress.js';
import {grantKeyRoute} from './actions/grant-key.js';
import {listMovesRoute} from './actions/list-moves.js';
import {listRecordsRoute} from './actions/list-records.js';
import {listWorkersRoute} from './actions/list-workers.js';
import {moveWorkerRoute} from './actions/move-worker.js';
import {setWaveStateRoute} from './actions/set-wave-state.js';
import {putRecordRoute} from './actions/put-record.js';
import {revokeKeyRoute} from './actions/revoke-key.js';
import type {OperatorRoute} from './types.js';

/** Every route of the operator API. */
export const operatorRoutes: readonly OperatorRoute[] = [
	listRecordsRoute,
	getRecordRoute,
	getHistoryRoute,
	putRecordRoute,
	deleteRecordRoute,
	grantKeyRoute,
	revokeKeyRoute,
	setWaveStateRoute,
	getWaveProgressRoute,
	listWorkersRoute,
	moveWorkerRoute,
	listMovesRoute,
	getStatusRoute,
	getSharesRoute,
	explainJobRoute,
	explainWorkerRoute,
];
