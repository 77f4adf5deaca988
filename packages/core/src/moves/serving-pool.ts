import type {PoolId} from '@samphiremill/common';
import type {HostOwnership} from '../control/types.js';

/**
 * Tells under which pool an entry host may dispatch to a minion. The owner that the entry host knows
 * and the pool that the minion announced must agree: an entry host that is cut off has old records,
 * but it hears the minion itself.
 *
 * @param input - The owner by the entry host's records, and the minion's announcement.
 * @returns The pool, or `undefined` where nothing may be dispatched.
 */
export function getServingPool({ownership, announcedPool}: {
	ownership: HostOwnership | undefined;
	announcedPool: PoolId;
}): PoolId | undefined {
	return ownership?.phase.type === 'member' && ownership.phase.pool === announcedPool ? announcedPool : undefined;
}
