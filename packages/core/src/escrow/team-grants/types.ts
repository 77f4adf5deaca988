/**
 * The committed division of team limits between data centres.
 */
import type {DataCentreId, TeamId} from '@samphiremill/common';

/** A data centre's part of one team's limit. */
export type TeamGrant = {
	readonly team: TeamId;
	readonly dataCentre: DataCentreId;
	/** What the data centre is charged for: the most that it may have running. */
	readonly amount: number;
	/** What its home may lend; below `amount` from a recall until the difference is returned. */
	readonly target: number;
	/** Counts the changes of this grant, from 1. */
	readonly version: number;
};

/** Every data centre's part of every team's limit. */
export type TeamGrantsState = {
	readonly grants: readonly TeamGrant[];
};

type GrantReference = {
	readonly team: TeamId;
	readonly dataCentre: DataCentreId;
	/** The version that the planner saw; 0 means that there is no grant yet. */
	readonly expectedVersion: number;
};

/** The leader's changes of grants. */
export type EscrowCommand
	/** Gives the data centre this amount, or ends a recall. */
	= | GrantReference & {readonly type: 'escrow/grantTeamLimit'; readonly amount: number}
		/** Asks the data centre to lend no more than this. */
		| GrantReference & {readonly type: 'escrow/recallTeamLimit'; readonly target: number}
		/** The home has shown that no more than this can be running. */
		| GrantReference & {
			readonly type: 'escrow/returnTeamLimit';
			readonly amount: number;
			/** The view under which the home reported. */
			readonly viewEpoch: number;
		};

/** Why a command changed nothing. */
export type EscrowRejection
	= | {readonly type: 'versionChanged'; readonly version: number}
		| {readonly type: 'limitExceeded'; readonly limit: number; readonly granted: number}
		| {readonly type: 'viewChanged'; readonly epoch: number}
		| {readonly type: 'invalidAmount'};

/** What the home of a team's limit in one data centre reports to the leader. */
export type TeamLimitReport = {
	readonly team: TeamId;
	readonly dataCentre: DataCentreId;
	readonly viewEpoch: number;
	/** The version of the grant that the home lends under. */
	readonly version: number;
	/** How many jobs run or wait in the data centre. */
	readonly wanted: number;
	/** The most that may be running in the data centre. */
	readonly charged: number;
};
