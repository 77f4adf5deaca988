/**
 * Types of the volatile state of membership: which entry hosts and minions are alive, as seen by this node.
 */
import type {
	DataCentreId, MinionId, MonotonicMs, NodeId, PoolId, RegionId, WorkerId,
} from '@samphiremill/common';

/** The address of an entry host, from the settings. */
export type NodeAddress = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	/** An IP address. */
	readonly host: string;
	readonly peerPort: number;
	readonly isVoter: boolean;
};

/** The health of an entry host as seen by this node. */
export type NodeHealth = 'alive' | 'suspect' | 'dead' | 'left';

/** The data that a minion announces about itself. */
export type MinionAnnouncement = {
	readonly minion: MinionId;
	/** Increases with every restart of the minion. */
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	/** An IP address. */
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	readonly connections: number;
};

/** A minion as seen by this node. */
export type KnownMinion = MinionAnnouncement & {
	/** A `leaving` minion gets no new work; a `silent` one did not renew its lease in time, or failed a probe. */
	readonly condition: 'ready' | 'leaving' | 'silent';
	readonly renewedAtMs: MonotonicMs;
};

/**
 * The condition of a worker. `up`: a minion of the worker has a valid lease. `silent`: the lease expired.
 * `unknown`: the worker was never seen, or the summary of its data centre is out of date.
 */
export type WorkerCondition = 'up' | 'silent' | 'unknown';

/** One worker as seen by this node. */
export type FleetWorker = {
	readonly worker: WorkerId;
	/** The pool that the worker's minions announced. The recorded owner is in `HostOwnership`. */
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	readonly condition: WorkerCondition;
	/** When a minion of the worker was last known to be alive, on this node's clock. */
	readonly lastSeenAtMs: MonotonicMs;
};

/** Every worker that this node knows, in order of id. An absent worker is unknown. */
export type FleetView = {
	readonly workers: readonly FleetWorker[];
};

/** One entry host as seen by this node. */
export type MemberStatus = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly incarnation: number;
	readonly health: NodeHealth;
	/** Since when this node has seen this health, on its own clock. */
	readonly sinceMs: MonotonicMs;
};

/** Every entry host as seen by this node, and the data centres whose summaries are fresh. */
export type MembershipView = {
	readonly members: readonly MemberStatus[];
	/** Data centres whose summary is fresh, including the own one. */
	readonly freshDataCentres: readonly DataCentreId[];
};

/** One worker in the summary of a data centre. */
export type WorkerSummary = {
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly condition: 'up' | 'silent';
};

/** One entry host in the summary of a data centre. */
export type NodeSummary = {
	readonly node: NodeId;
	readonly incarnation: number;
	readonly health: NodeHealth;
};

/** Identifies the series of summaries that one incarnation of a reporter sends. */
export type SummaryStream = {
	readonly reporter: NodeId;
	readonly incarnation: number;
};

/** A message between entry hosts about their liveness and that of workers. */
export type MembershipMessage
	= | {readonly type: 'membership/heartbeat'; readonly incarnation: number; readonly sequence: number}
		/** The sender stops as planned. */
		| {readonly type: 'membership/leave'; readonly incarnation: number}
		/** The sender no longer receives heartbeats of the target, and asks whether the receiver does. */
		| {readonly type: 'membership/probe'; readonly target: NodeId}
		| {
			readonly type: 'membership/probeAnswer';
			readonly target: NodeId;
			readonly incarnation: number;
			readonly sequence: number;
			/** How long ago the sender itself last received a heartbeat of the target. */
			readonly heardAgoMs: number;
		}
		/** The entries of a data centre that changed after version `base`. 0 means all entries. */
		| {
			readonly type: 'membership/summary';
			readonly dataCentre: DataCentreId;
			readonly stream: SummaryStream;
			readonly base: number;
			readonly version: number;
			/** How long ago the reporter's latest summary reached the sender's data centre; 0 from the reporter itself. */
			readonly ageMs: number;
			readonly nodes: readonly NodeSummary[];
			readonly workers: readonly WorkerSummary[];
		}
		/** The sender missed summaries of this data centre, and asks for a complete one. */
		| {readonly type: 'membership/summaryRequest'; readonly dataCentre: DataCentreId};

/** The configuration of membership: this node, all entry hosts and the timings. */
export type MembershipConfig = {
	readonly self: NodeAddress;
	/** Increases with every start of this process. */
	readonly incarnation: number;
	/** All entry hosts, including this one. */
	readonly addresses: readonly NodeAddress[];
	readonly timings: MembershipTimings;
};

/** Timings of membership in milliseconds. */
export type MembershipTimings = {
	readonly heartbeatPeriodMs: number;
	/** The period of heartbeats to a dead peer. */
	readonly deadHeartbeatPeriodMs: number;
	readonly suspectAfterMs: number;
	readonly deadAfterMs: number;
	/** The longest time between two summaries to another data centre. */
	readonly summaryPeriodMs: number;
	/** The shortest time between two summaries to another data centre. */
	readonly minimumSummaryGapMs: number;
	/** The age from which a summary is out of date, so that its content counts as unknown. */
	readonly summaryLifetimeMs: number;
};
