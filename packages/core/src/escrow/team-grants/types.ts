/**
 * The committed division of team limits between data centres.
 */
import type {DataCentreId, TeamId} from '@samphiremill/common';

/** The part of a team's limit that is granted to a data centre. */
export type TeamGrant = {
	readonly team: TeamId;
	readonly dataCentre: DataCentreId;
	/** The amount that the data centre is charged for: the maximum that may be running there. */
	readonly amount: number;
	/** The amount that its home may lend. Below `amount` from a recall until the difference is returned. */
	readonly target: number;
	/** Counts the changes of this grant, from 1. */
	readonly version: number;
};

/** The grants of all team limits to all data centres. */
export type TeamGrantsState = {
	readonly grants: readonly TeamGrant[];
};

type GrantReference = {
	readonly team: TeamId;
	readonly dataCentre: DataCentreId;
	/** The version that the planner read. 0 means that there is no grant yet. */
	readonly expectedVersion: number;
};

/** A change of a grant, proposed by the leader. */
export type EscrowCommand
	/** Grants the data centre this amount, or ends a recall. */
	= | GrantReference & {readonly type: 'escrow/grantTeamLimit'; readonly amount: number}
		/** Limits what the data centre may lend. */
		| GrantReference & {readonly type: 'escrow/recallTeamLimit'; readonly target: number}
		/** Lowers the charge to the maximum that can be running according to the home's report. */
		| GrantReference & {
			readonly type: 'escrow/returnTeamLimit';
			readonly amount: number;
			/** The epoch of the view in which the home reported. */
			readonly viewEpoch: number;
		};

/** The reason why a command was rejected. */
export type EscrowRejection
	= | {readonly type: 'versionChanged'; readonly version: number}
		| {readonly type: 'limitExceeded'; readonly limit: number; readonly granted: number}
		| {readonly type: 'viewChanged'; readonly epoch: number}
		| {readonly type: 'invalidAmount'};

/** The report of the home of a team's limit in one data centre to the leader. */
export type TeamLimitReport = {
	readonly team: TeamId;
	readonly dataCentre: DataCentreId;
	readonly viewEpoch: number;
	/** The version of the grant under which the home lends. */
	readonly version: number;
	/** The number of jobs that run or wait in the data centre. */
	readonly wanted: number;
	/** The maximum that may be running in the data centre. */
	readonly charged: number;
};
