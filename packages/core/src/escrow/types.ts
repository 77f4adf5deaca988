/**
 * Rights to use resources whose total use must not exceed a bound. Slots of a minion are lent by the
 * minion's home, an entry host of its data centre, to the entry hosts of that data centre. Team limits are
 * granted to data centres by the replicated log and lent to entry hosts by the team's home in each data centre.
 */
import type {
	DataCentreId, MinionId, MonotonicMs, NodeId, PoolId, TeamId,
} from '@samphiremill/common';
import type {DataCentreView} from '../control/types.js';
import type {KnownMinion, MembershipView} from '../membership/types.js';
import type {TeamLimitReport} from './team-grants/types.js';

/** A resource that is lent. */
export type EscrowResource
	/** One slot of one incarnation of a minion. */
	= | {readonly type: 'slot'; readonly minion: MinionId; readonly incarnation: number}
	/** One running job of a team. */
		| {readonly type: 'teamLimit'; readonly team: TeamId};

/** A right that this node currently holds. */
export type HeldRight = {
	readonly resource: EscrowResource;
	/** The number of units that this node may use. After a revocation it may be less than the number in use, until jobs end. */
	readonly amount: number;
};

/** One resource in a holder's report to its home. */
export type ReportItem = {
	readonly resource: EscrowResource;
	/** The number of units that the holder may use. */
	readonly held: number;
	/** The number of units that its jobs use. May be more than `held` after a revocation. */
	readonly running: number;
	/** The number of units that its running and waiting jobs need together. */
	readonly wanted: number;
};

/** One resource in a home's answer to a report. */
export type GrantItem = {
	readonly resource: EscrowResource;
	readonly amount: number;
};

/** A message about rights between entry hosts. */
export type EscrowMessage
	/** All resources that the sender holds, uses or wants and whose home is the receiver. */
	= | {
		readonly type: 'escrow/report';
		readonly epoch: number;
		readonly incarnation: number;
		/** Increases with every report of the sender. */
		readonly reportId: number;
		/** The latest report to this receiver whose answer the sender has applied. */
		readonly answeredReportId: number;
		/** The time for which jobs of an earlier process of the sender may still run. */
		readonly earlierTasksMs: number;
		/** Whether the sender is shutting down and gets no rights. */
		readonly isLeaving: boolean;
		readonly items: readonly ReportItem[];
	}
	/** The answer to a report. `items` are the changes to the reported holdings. Renews the lease of all of them. */
	| {
		readonly type: 'escrow/grant';
		readonly epoch: number;
		readonly reportId: number;
		readonly items: readonly GrantItem[];
	}
		/** The report of a home to the leader on team limits. */
	| {readonly type: 'escrow/limitReport'; readonly reports: readonly TeamLimitReport[]}
		/** Asks the receiver to report, as the sender can lend it more or must revoke some of its rights. */
	| {readonly type: 'escrow/reportNow'; readonly epoch: number};

/** The number of jobs that wait at this node for a pool or of a team. */
export type EscrowDemand
	= | {readonly type: 'pool'; readonly pool: PoolId; readonly waiting: number}
		| {readonly type: 'team'; readonly team: TeamId; readonly waiting: number};

/** The number of jobs of a team that may run in this data centre. */
export type TeamBound = {
	readonly team: TeamId;
	readonly amount: number;
	/** The version of the grant that sets the bound. */
	readonly version: number;
	/** Whether the data centre is still charged for more than `amount`, until its home has reported the difference as unused. */
	readonly isRecalled: boolean;
};

/** The number of units of a resource that a node's jobs use or have reserved. */
export type EscrowUsage = {
	readonly resource: EscrowResource;
	readonly running: number;
};

/** An event for the escrow reducer. */
export type EscrowEvent
	= | {readonly type: 'escrow/tick'; readonly nowMs: MonotonicMs}
		/** The committed members of this node's data centre changed. */
		| {readonly type: 'escrow/viewChanged'; readonly view: DataCentreView; readonly nowMs: MonotonicMs}
		/** Whether the configuration lease is fresh, in which case the view is known to be the latest. */
		| {readonly type: 'escrow/configurationLease'; readonly isFresh: boolean; readonly nowMs: MonotonicMs}
		/** All bounds of teams in this node's data centre. */
		| {readonly type: 'escrow/teamBoundsChanged'; readonly bounds: readonly TeamBound[]; readonly nowMs: MonotonicMs}
		/** The leader of the log as far as this node knows. Homes report team limits to it. */
		| {readonly type: 'escrow/leaderChanged'; readonly leader: NodeId | undefined; readonly nowMs: MonotonicMs}
		| {readonly type: 'escrow/demand'; readonly demands: readonly EscrowDemand[]; readonly nowMs: MonotonicMs}
		| {readonly type: 'escrow/usage'; readonly usage: readonly EscrowUsage[]; readonly nowMs: MonotonicMs}
		/** The usage of a holder that has stopped reporting, as its minions report it after its lease has expired. */
		| {
			readonly type: 'escrow/holderUsage';
			readonly holder: NodeId;
			readonly usage: readonly EscrowUsage[];
			readonly nowMs: MonotonicMs;
		}
		/** This node is shutting down. It returns all rights that its jobs do not use. */
		| {readonly type: 'escrow/leave'; readonly nowMs: MonotonicMs}
		| {readonly type: 'minions/changed'; readonly minions: readonly KnownMinion[]; readonly nowMs: MonotonicMs}
		| {readonly type: 'membership/changed'; readonly view: MembershipView; readonly nowMs: MonotonicMs}
		| {readonly type: 'peer/received'; readonly from: NodeId; readonly message: EscrowMessage; readonly nowMs: MonotonicMs};

/** An effect that the shell carries out or passes on to other parts. */
export type EscrowEffect
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: EscrowMessage}
		/** The rights that changed. All others are unchanged. */
		| {readonly type: 'escrow/held'; readonly rights: readonly HeldRight[]};

/** The identity of this node and the timings of escrow. */
export type EscrowConfig = {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	readonly incarnation: number;
	/** All configured entry hosts of this node's data centre, including this node. */
	readonly localNodes: readonly NodeId[];
	/** The time for which jobs of an earlier process of this node may still run. 0 if there are none. */
	readonly earlierTasksMs: number;
	readonly timings: EscrowTimings;
};

/** Timings of escrow in milliseconds. */
export type EscrowTimings = {
	readonly reportPeriodMs: number;
	/** The time for which a right may be used without a new answer, counted from when the report was sent. */
	readonly leaseMs: number;
	/** The time for which a job may run after the right that it was started under has expired. */
	readonly taskLeaseMs: number;
	/** The time for which a node may regard a configuration as fresh. */
	readonly configurationLeaseMs: number;
	/** The time for which a home without a fresh configuration may lend while a majority of nodes reports to it. */
	readonly isolationMs: number;
	/** The maximum ratio between the rates of two nodes' clocks. */
	readonly maximumClockRatio: number;
};
