/**
 * Rights that must never sum past a bound: worker slots, lent by a minion's home entry host to the
 * entry hosts of its data centre, and team limits, granted by the log to data centres and lent on.
 */
import type {MinionId, TeamId} from '@samphiremill/common';

/** What a right is a right to. */
export type EscrowResource
	/** One slot of one incarnation of a minion. */
	= | {readonly type: 'slot'; readonly minion: MinionId; readonly incarnation: number}
	/** One running job of a team. */
		| {readonly type: 'teamLimit'; readonly team: TeamId};

/** What this node may spend at this moment. */
export type HeldRight = {
	readonly resource: EscrowResource;
	/** How many units this node may have in use; below its use after a call-back, until jobs end. */
	readonly amount: number;
};
