/**
 * Types of weighted max-min shares.
 */
import type {TeamId} from '@samphiremill/common';

/** Demand of one team for a capacity, in any unit. */
export type ShareDemand = {
	readonly team: TeamId;
	/** Must be greater than 0. */
	readonly weight: number;
	readonly demand: number;
	/** The team's upper limit; absent if there is none. */
	readonly limit?: number;
};

/** Fair share of a team. */
export type Share = {
	readonly team: TeamId;
	readonly due: number;
};

/** Amounts by resource name, for example cores, megabytes of memory or slots. */
export type ResourceAmounts = Readonly<Record<string, number>>;

/** Demand of one team for several resources, as a number of tasks of equal size. */
export type TaskDemand = {
	readonly team: TeamId;
	readonly weight: number;
	/** Number of tasks that the team could run at once. */
	readonly tasks: number;
	readonly perTask: ResourceAmounts;
	/** Maximum number of tasks that the team may run; absent if there is none. */
	readonly limit?: number;
};
