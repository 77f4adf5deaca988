import type {EscrowTimings} from './types.js';

/** Timings for data centres with a few entry hosts and a latency of a few milliseconds between them. */
export const defaultEscrowTimings: EscrowTimings = {
	reportPeriodMs: 1000,
	leaseMs: 3000,
	taskLeaseMs: 30_000,
	configurationLeaseMs: 3000,
	isolationMs: 2 * 60 * 60 * 1000,
	maximumClockRatio: 1.05,
};

/** The number of unconfirmed grants that a home stores separately for one holder. Older ones are merged. */
export const maximumUnconfirmedGrants = 8;

/** The minimum time between two reports to one home that are caused by unmet demand. */
export const minimumReportIntervalMs = 50;

/** The minimum time between two requests for a report to one holder. */
export const minimumReportRequestIntervalMs = 20;

/** The minimum time between two reports of team limits to the leader. */
export const minimumLimitReportIntervalMs = 500;

/** The time between two reports to the leader that contain all team limits, changed or not. */
export const fullLimitReportPeriodMs = 10_000;

/** The time between two searches of a home for holders to poll, independent of incoming reports. */
export const holderPollPeriodMs = 500;
