/**
 * Rights that must never sum past a bound: worker slots, lent by a minion's home entry host to the
 * entry hosts of its data centre, and team limits, granted by the log to data centres and lent on.
 */
import type {
	DataCentreId, MinionId, MonotonicMs, NodeId, PoolId, TeamId,
} from '@samphiremill/common';
import type {DataCentreView} from '../control/types.js';
import type {KnownMinion, MembershipView} from '../membership/types.js';
import type {TeamLimitReport} from './team-grants/types.js';

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

/** One resource in a holder's report to its home. */
export type ReportItem = {
	readonly resource: EscrowResource;
	/** How many units the holder may have in use. */
	readonly held: number;
	/** How many units its jobs have in use; more than `held` after a call-back. */
	readonly running: number;
	/** How many units its jobs in use and waiting could take. */
	readonly wanted: number;
};

/** One resource in a home's answer. */
export type GrantItem = {
	readonly resource: EscrowResource;
	readonly amount: number;
};

/** What entry hosts of a data centre tell each other about rights. */
export type EscrowMessage
	/** Everything that the sender holds, uses or wants of the receiver. */
	= | {
		readonly type: 'escrow/report';
		readonly epoch: number;
		readonly incarnation: number;
		/** Grows with every report of the sender. */
		readonly reportId: number;
		/** The newest report whose answer the sender has taken up from this receiver. */
		readonly answeredReportId: number;
		/** How long jobs of an earlier process of the sender may still run. */
		readonly earlierTasksMs: number;
		/** A sender that stops as planned is given nothing. */
		readonly isLeaving: boolean;
		readonly items: readonly ReportItem[];
	}
	/** The answer to a report: the changes to what the holder reported to hold, and a lease on all of it. */
	| {
		readonly type: 'escrow/grant';
		readonly epoch: number;
		readonly reportId: number;
		readonly items: readonly GrantItem[];
	}
		/** What homes tell the leader of team limits. */
	| {readonly type: 'escrow/limitReport'; readonly reports: readonly TeamLimitReport[]}
		/** The sender has something to lend to the receiver, or to call back from it. */
	| {readonly type: 'escrow/reportNow'; readonly epoch: number};

/** How much work waits at this node for one pool or team. */
export type EscrowDemand
	= | {readonly type: 'pool'; readonly pool: PoolId; readonly waiting: number}
		| {readonly type: 'team'; readonly team: TeamId; readonly waiting: number};

/** What this data centre may have running of a team. */
export type TeamBound = {
	readonly team: TeamId;
	readonly amount: number;
	/** The version of the grant that says so. */
	readonly version: number;
	/** The data centre is still charged for more than `amount`, until its home has shown that it is free. */
	readonly isRecalled: boolean;
};

/** How much of a resource this node's jobs have in use, those that are reserved included. */
export type EscrowUsage = {
	readonly resource: EscrowResource;
	readonly running: number;
};

/** What happens to escrow. */
export type EscrowEvent
	= | {readonly type: 'escrow/tick'; readonly nowMs: MonotonicMs}
		/** The committed members of the own data centre. */
		| {readonly type: 'escrow/viewChanged'; readonly view: DataCentreView; readonly nowMs: MonotonicMs}
		/** Whether the configuration lease is fresh, and so the view known to be the newest. */
		| {readonly type: 'escrow/configurationLease'; readonly isFresh: boolean; readonly nowMs: MonotonicMs}
		/** All bounds of teams in the own data centre. */
		| {readonly type: 'escrow/teamBoundsChanged'; readonly bounds: readonly TeamBound[]; readonly nowMs: MonotonicMs}
		/** The leader of the log as this node knows it, to whom homes report team limits. */
		| {readonly type: 'escrow/leaderChanged'; readonly leader: NodeId | undefined; readonly nowMs: MonotonicMs}
		| {readonly type: 'escrow/demand'; readonly demands: readonly EscrowDemand[]; readonly nowMs: MonotonicMs}
		| {readonly type: 'escrow/usage'; readonly usage: readonly EscrowUsage[]; readonly nowMs: MonotonicMs}
		/** What a silent holder still runs, measured at its minions after its lease had run out. */
		| {
			readonly type: 'escrow/holderUsage';
			readonly holder: NodeId;
			readonly usage: readonly EscrowUsage[];
			readonly nowMs: MonotonicMs;
		}
		/** This node stops as planned: it gives back all that its jobs do not use. */
		| {readonly type: 'escrow/leave'; readonly nowMs: MonotonicMs}
		| {readonly type: 'minions/changed'; readonly minions: readonly KnownMinion[]; readonly nowMs: MonotonicMs}
		| {readonly type: 'membership/changed'; readonly view: MembershipView; readonly nowMs: MonotonicMs}
		| {readonly type: 'peer/received'; readonly from: NodeId; readonly message: EscrowMessage; readonly nowMs: MonotonicMs};

/** What escrow asks of the shell and tells the other parts. */
export type EscrowEffect
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: EscrowMessage}
		/** These rights changed; any other is as it was. */
		| {readonly type: 'escrow/held'; readonly rights: readonly HeldRight[]};

/** Timings of escrow in milliseconds, and this node's place. */
export type EscrowConfig = {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	readonly incarnation: number;
	/** Every entry host of the own data centre in the settings, this one among them. */
	readonly localNodes: readonly NodeId[];
	/** How long jobs of an earlier process of this node may still run; 0 when there are none. */
	readonly earlierTasksMs: number;
	readonly timings: EscrowTimings;
};

/** Timings of escrow in milliseconds. */
export type EscrowTimings = {
	readonly reportPeriodMs: number;
	/** How long a right may be used without a new answer, from when the report was sent. */
	readonly leaseMs: number;
	/** How long a job may run after the right that it was started under has run out. */
	readonly taskLeaseMs: number;
	/** How long a node may take a configuration for fresh. */
	readonly configurationLeaseMs: number;
	/** How long a home without fresh configuration may go on lending with a majority's reports. */
	readonly isolationMs: number;
	/** How much faster than another node's clock this one's may be. */
	readonly maximumClockRatio: number;
};
