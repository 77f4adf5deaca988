import {rankMembers, type NodeId} from '@samphiremill/common';
import type {EscrowResource} from './types.js';

/** Returns a string that identifies a resource. */
export function getResourceKey(resource: EscrowResource): string {
	return resource.type === 'slot'
		? JSON.stringify(['slot', resource.minion, resource.incarnation])
		: JSON.stringify(['teamLimit', resource.team]);
}

/**
 * Ranks the members of a data centre for a resource. The first one is the resource's home. The slots of a
 * minion have the same home in all its incarnations.
 *
 * @param members - The members of the committed view.
 */
export function rankForResource(resource: EscrowResource, members: readonly NodeId[]): readonly NodeId[] {
	return rankMembers(resource.type === 'slot' ? `slot/${resource.minion}` : `team/${resource.team}`, members);
}
