/**
 * Weighted max-min shares of what is scarce.
 */
import type {TeamId} from '@samphiremill/common';

/** What one team asks of a capacity, in any one unit. */
export type ShareDemand = {
	readonly team: TeamId;
	/** Above 0. */
	readonly weight: number;
	readonly demand: number;
	/** The team's upper limit; absent means none. */
	readonly limit?: number;
};

/** What a team is due of a capacity. */
export type Share = {
	readonly team: TeamId;
	readonly due: number;
};

/** Amounts of several resources by name, as cores, megabytes of memory or slots. */
export type ResourceAmounts = Readonly<Record<string, number>>;

/** What one team asks of several resources, as many tasks of one size. */
export type TaskDemand = {
	readonly team: TeamId;
	readonly weight: number;
	/** How many tasks the team could run at once. */
	readonly tasks: number;
	readonly perTask: ResourceAmounts;
	/** The most tasks that the team may run; absent means no bound. */
	readonly limit?: number;
};
