import {rankMembers, type NodeId} from '@samphiremill/common';
import type {EscrowResource} from './types.js';

/**
 * @param resource - What a right is a right to.
 * @returns A text that is the same for the same resource only.
 */
export function getResourceKey(resource: EscrowResource): string {
	return resource.type === 'slot'
		? JSON.stringify(['slot', resource.minion, resource.incarnation])
		: JSON.stringify(['teamLimit', resource.team]);
}

/**
 * Ranks the members of a data centre for a resource. The first is its home; all slots of one minion
 * have the same home, whatever its incarnation.
 *
 * @param resource - What is lent.
 * @param members - The members of the committed view.
 * @returns The members, the home first.
 */
export function rankForResource(resource: EscrowResource, members: readonly NodeId[]): readonly NodeId[] {
	return rankMembers(resource.type === 'slot' ? `slot/${resource.minion}` : `team/${resource.team}`, members);
}
