import {listWorkerRecords, type ControlState, type WorkerRecord} from '@samphiremill/core';
import {createDocumentResponse} from '../respond.js';
import type {OperatorContext, OperatorRoute, WorkerReport} from '../types.js';

function createWorkerReport({record, state, condition}: {
	readonly record: WorkerRecord;
	readonly state: ControlState;
	readonly condition: WorkerReport['condition'];
}): WorkerReport {
	const phase = state.ownership.get(record.id)?.phase;
	return {
		worker: record.id,
		dataCentre: record.dataCentre,
		rack: record.rack,
		homePool: record.homePool,
		...(phase !== undefined && {pool: phase.pool}),
		...(phase?.type === 'releasing' && {movingTo: phase.to}),
		condition,
	};
}

/**
 * Lists every worker that has a record, sorted by id, with its state as this entry host knows it.
 */
export function listWorkerReports(context: OperatorContext): readonly WorkerReport[] {
	const state = context.getControlState();
	const conditions = new Map(context.getFleet().workers.map(({worker, condition}) => [worker, condition]));
	return listWorkerRecords(state).map(record => createWorkerReport({
		record, state, condition: conditions.get(record.id) ?? 'unknown',
	}));
}

/** Lists the workers, optionally only those of one `pool` or `dataCentre`. */
export const listWorkersRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/workers',
	role: 'read',
	handle({query}, context) {
		const pool = query.get('pool') ?? undefined;
		const dataCentre = query.get('dataCentre') ?? undefined;
		const items = listWorkerReports(context).filter(worker =>
			(pool === undefined || worker.pool === pool) && (dataCentre === undefined || worker.dataCentre === dataCentre));
		return createDocumentResponse({items});
	},
};
