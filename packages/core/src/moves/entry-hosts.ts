import type {NodeId, WorkerId} from '@samphiremill/common';
import type {HostMove, MoveContext} from './types.js';

/** Lists the committed entry hosts of the worker's data centre. Only these dispatch to the worker. */
export function getEntryHosts({worker, context}: {worker: WorkerId; context: MoveContext}): readonly NodeId[] {
	const dataCentre = context.records.workers.find(({id}) => id === worker)?.dataCentre;
	return context.views.find(view => view.dataCentre === dataCentre)?.members ?? [];
}

/**
 * Collects the entry hosts that may still dispatch under the old pool. The adoption requires of each that it
 * has acknowledged the release or that its lease has expired. An entry host that was removed from the view
 * after the release began is included, because it may be cut off and not know of its removal.
 */
export function getRequiredEntryHosts({move, context}: {move: HostMove; context: MoveContext}): readonly NodeId[] {
	return [...new Set([...move.entryHosts, ...getEntryHosts({worker: move.worker, context})])];
}
