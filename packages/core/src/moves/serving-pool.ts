import type {PoolId} from '@samphiremill/common';
import type {HostOwnership} from '../control/types.js';

/**
 * Determines the pool under which an entry host may dispatch to a minion. The ownership in the entry host's
 * records and the pool that the minion announced must agree: the records of an entry host that is cut off may
 * be stale, but the announcement comes from the minion itself.
 *
 * @returns The pool; `undefined` when no job may be dispatched.
 */
export function getServingPool({ownership, announcedPool}: {
	ownership: HostOwnership | undefined;
	announcedPool: PoolId;
}): PoolId | undefined {
	return ownership?.phase.type === 'member' && ownership.phase.pool === announcedPool ? announcedPool : undefined;
}
