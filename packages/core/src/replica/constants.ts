import type {ReplicaLimits} from './types.js';

/** Periods and bounds for entry hosts up to 100 ms apart, one way. */
export const defaultReplicaLimits: ReplicaLimits = {
	heartbeatPeriodMs: 250,
	electionTimeoutMs: 1000,
	leaderLeaseMs: 750,
	retransmitTimeoutMs: 500,
	commitHeartbeatIntervalMs: 0,
	proposalTimeoutMs: 5000,
	confirmationPeriodMs: 400,
	minimumPollIntervalMs: 250,
	minimumPullIntervalMs: 100,
	configurationLeaseMs: 2000,
	heartbeatConfirmationMaximumAgeMs: 700,
	upstreamTimeoutMs: 1200,
	upstreamRetryMs: 5000,
	learnerTimeoutMs: 60_000,
	snapshotEveryEntries: 1000,
	trailingEntries: 500,
	maximumBatchEntries: 64,
	maximumBatchBytes: 262_144,
	maximumInFlightMessages: 4,
	maximumChunkLength: 32_768,
	maximumPendingRequests: 4096,
};

/** How often an unanswered proposal, read or snapshot request is sent again. */
export const requestResendIntervalMs = 500;

/** How many proposals a replica recognises after their entries were compacted. */
export const maximumRememberedRequests = 512;

/** How long a snapshot transfer may stand still. */
export const snapshotStallTimeoutMs = 2000;

/** How many polls for a confirmation may be open at once. */
export const maximumOpenPolls = 32;

/** How many requests for a confirmation one node may have open here. */
export const maximumWaitingRequestsPerNode = 16;

/** How long a fed node stays subscribed after its last pull. */
export const subscriptionTimeoutMs = 3000;
