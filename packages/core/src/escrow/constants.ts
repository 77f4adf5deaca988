import type {EscrowTimings} from './types.js';

/** Timings for data centres of a few entry hosts, a few milliseconds apart. */
export const defaultEscrowTimings: EscrowTimings = {
	reportPeriodMs: 1000,
	leaseMs: 3000,
	taskLeaseMs: 30_000,
	configurationLeaseMs: 3000,
	isolationMs: 2 * 60 * 60 * 1000,
	maximumClockRatio: 1.05,
};

/** How many unanswered grants a home keeps apart for one holder; older ones are merged. */
export const maximumUnconfirmedGrants = 8;

/** The shortest time between two reports to one home for want of rights. */
export const minimumReportIntervalMs = 50;

/** The shortest time between two requests to one holder to report. */
export const minimumReportRequestIntervalMs = 20;

/** The shortest time between two reports of team limits to the leader. */
export const minimumLimitReportIntervalMs = 500;

/** How often the leader is told of all team limits, changed or not. */
export const fullLimitReportPeriodMs = 10_000;

/** How often a home looks for holders to ask without a report that gives reason to. */
export const holderPollPeriodMs = 500;
