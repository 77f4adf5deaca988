import type {ReplicaLimits} from './types.js';

const bytesPerMebibyte = 1_048_576;

/** Default intervals and limits, for entry hosts with a one-way latency of up to 100 ms. */
export const defaultReplicaLimits: ReplicaLimits = {
	heartbeatPeriodMs: 250,
	electionTimeoutMs: 1000,
	leaderLeaseMs: 750,
	retransmitTimeoutMs: 500,
	// Many times a slow commit (two syncs of 200 ms and a retransmission), and half of `proposalTimeoutMs`, so that the next
	// leader can still commit what waits.
	leaderStallTimeoutMs: 2500,
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
	minimumSnapshotBytes: 4 * bytesPerMebibyte,
	maximumSnapshotBytes: 16 * bytesPerMebibyte,
	maximumLogBytes: 32 * bytesPerMebibyte,
	trailingEntries: 500,
	trailingBytes: 8 * bytesPerMebibyte,
	maximumUncommittedBytes: 8 * bytesPerMebibyte,
	maximumBatchEntries: 64,
	maximumBatchBytes: 262_144,
	maximumInFlightMessages: 4,
	// Half of a connection's send buffer, so that heartbeats, votes and calls always have room beside the log.
	maximumInFlightBytes: bytesPerMebibyte,
	maximumPushedBytes: bytesPerMebibyte / 2,
	// At three bytes a code unit it fits into a frame, with the message around it.
	maximumChunkLength: 262_144,
	maximumPendingRequests: 4096,
};

/** Limits of control hosts, which are a few milliseconds apart. Followers need not learn of a commit before the next heartbeat. */
export const controlHostReplicaLimits: ReplicaLimits = {
	...defaultReplicaLimits,
	heartbeatPeriodMs: 100,
	electionTimeoutMs: 600,
	leaderLeaseMs: 450,
	commitHeartbeatIntervalMs: 100,
	snapshotEveryEntries: 3000,
	trailingEntries: 1500,
};

/**
 * The interval after which an unanswered proposal, read, voter change, snapshot or formation request is sent
 * again.
 */
export const requestResendIntervalMs = 500;

/** The number of proposals that a replica still recognises after their entries were compacted. */
export const maximumRememberedRequests = 512;

/** A voter change is aborted if its learner has synced nothing for so long, so that another host can take its place. */
export const learnerStallTimeoutMs = 2000;

/** A leader whose ticks are further apart has stood still: it ticks each 50 ms. */
export const standstillMs = 150;

/** A snapshot transfer without progress is aborted after this time. */
export const snapshotStallTimeoutMs = 2000;

/** The bytes of further entries, for each UTF-16 code unit of a snapshot, after which the next one is due. */
export const entryBytesPerSnapshotLength = 2;

/** How many snapshots are left out, at most, while a peer fetches the present one. */
export const maximumDeferredSnapshots = 2;

/** The maximum number of open polls for a confirmation. */
export const maximumOpenPolls = 32;

/** The maximum number of waiting confirmation requests per requesting node. */
export const maximumWaitingRequestsPerNode = 16;

/** A subscription to committed entries expires this long after the subscriber's last pull. */
export const subscriptionTimeoutMs = 3000;

/**
 * The maximum number of unsynced writes that are told apart while the disk is slow. Later ones join the last.
 */
export const maximumPendingWrites = 256;

/** The maximum number of messages that wait for one unsynced write. The oldest are dropped, as the network may. */
export const maximumPendingMessages = 64;
