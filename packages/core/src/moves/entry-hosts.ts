import type {NodeId, WorkerId} from '@samphiremill/common';
import type {HostMove, MoveContext} from './types.js';

/**
 * @param input - A worker and the committed views.
 * @returns The committed entry hosts of the worker's data centre, the only ones that dispatch to it.
 */
export function getEntryHosts({worker, context}: {worker: WorkerId; context: MoveContext}): readonly NodeId[] {
	const dataCentre = context.records.workers.find(({id}) => id === worker)?.dataCentre;
	return context.views.find(view => view.dataCentre === dataCentre)?.members ?? [];
}

/**
 * Collects the entry hosts that may still dispatch under the old pool. One that was dropped from the
 * view since the release began is among them, since it may be cut off and not know.
 *
 * @param input - A move and the committed views.
 * @returns The entry hosts whose acknowledgement or expired lease the adoption needs.
 */
export function getRequiredEntryHosts({move, context}: {move: HostMove; context: MoveContext}): readonly NodeId[] {
	return [...new Set([...move.entryHosts, ...getEntryHosts({worker: move.worker, context})])];
}
