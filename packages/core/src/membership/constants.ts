import type {MembershipTimings} from './types.js';

/** Timings for data centres of a few entry hosts, with a latency of a few milliseconds between them. */
export const defaultMembershipTimings: MembershipTimings = {
	heartbeatPeriodMs: 200,
	deadHeartbeatPeriodMs: 1000,
	suspectAfterMs: 600,
	deadAfterMs: 1200,
	summaryPeriodMs: 1000,
	minimumSummaryGapMs: 200,
	summaryLifetimeMs: 4000,
};

/** The period at which the shell sends `membership/tick`. */
export const membershipTickPeriodMs = 100;

/** How long a member must be dead before it is removed from the committed view. */
export const removeFromViewAfterMs = 500;

/** How long a node must be alive before it is added to a committed view. */
export const addToViewAfterMs = 3000;
