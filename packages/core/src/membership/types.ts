/**
 * Volatile knowledge: which entry hosts and minions are alive, as far as this node can tell.
 */
import type {
	DataCentreId, MinionId, MonotonicMs, NodeId, PoolId, RegionId, WorkerId,
} from '@samphiremill/common';

/** Where an entry host is reached, from settings. */
export type NodeAddress = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	/** An IP number. */
	readonly host: string;
	readonly peerPort: number;
	readonly isVoter: boolean;
};

/** What this node believes of another entry host. */
export type NodeHealth = 'alive' | 'suspect' | 'dead' | 'left';

/** A minion as it announced itself. */
export type MinionAnnouncement = {
	readonly minion: MinionId;
	/** Grows with every restart of the minion. */
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	/** An IP number. */
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	readonly connections: number;
};

/** A minion as this node knows it. */
export type KnownMinion = MinionAnnouncement & {
	/** `leaving` gets no new work; `silent` has not renewed within its lease. */
	readonly condition: 'ready' | 'leaving' | 'silent';
	readonly renewedAtMs: MonotonicMs;
};

/**
 * How a worker stands: `up` has a minion within its lease, `silent` had one whose lease ran out,
 * `unknown` was never seen, or its data centre's summary is out of date.
 */
export type WorkerCondition = 'up' | 'silent' | 'unknown';

/** One worker as this node knows it. */
export type FleetWorker = {
	readonly worker: WorkerId;
	/** The pool that the worker's minions announced; the owner by record is in `HostOwnership`. */
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	readonly condition: WorkerCondition;
	/** When a minion of the worker was last known to be alive, on this node's clock. */
	readonly lastSeenAtMs: MonotonicMs;
};

/** Every worker that this node has heard of, in order of id. A worker that is absent is unknown. */
export type FleetView = {
	readonly workers: readonly FleetWorker[];
};

/** One entry host as this node believes it to be. */
export type MemberStatus = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly incarnation: number;
	readonly health: NodeHealth;
	/** Since when this node has held this belief, on its own clock. */
	readonly sinceMs: MonotonicMs;
};

/** Every entry host as this node believes it to be, and which data centres it has news from. */
export type MembershipView = {
	readonly members: readonly MemberStatus[];
	/** Data centres whose summary is fresh, the own one among them. */
	readonly freshDataCentres: readonly DataCentreId[];
};

/** One worker in a data centre's summary. */
export type WorkerSummary = {
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly condition: 'up' | 'silent';
};

/** One entry host in a data centre's summary. */
export type NodeSummary = {
	readonly node: NodeId;
	readonly incarnation: number;
	readonly health: NodeHealth;
};

/** The series of summaries that one start of a reporter sends. */
export type SummaryStream = {
	readonly reporter: NodeId;
	readonly incarnation: number;
};

/** What entry hosts tell each other about who is alive. */
export type MembershipMessage
	= | {readonly type: 'membership/heartbeat'; readonly incarnation: number; readonly sequence: number}
		/** The sender is stopping as planned. */
		| {readonly type: 'membership/leave'; readonly incarnation: number}
		/** The sender no longer hears the target and asks who does. */
		| {readonly type: 'membership/probe'; readonly target: NodeId}
		| {
			readonly type: 'membership/probeAnswer';
			readonly target: NodeId;
			readonly incarnation: number;
			readonly sequence: number;
			/** How long ago the sender itself heard the target. */
			readonly heardAgoMs: number;
		}
		/** The entries of a data centre that changed after version `base`; 0 means all of them. */
		| {
			readonly type: 'membership/summary';
			readonly dataCentre: DataCentreId;
			readonly stream: SummaryStream;
			readonly base: number;
			readonly version: number;
			/** How long ago the reporter's news reached the sender. */
			readonly ageMs: number;
			readonly nodes: readonly NodeSummary[];
			readonly workers: readonly WorkerSummary[];
		}
		/** The sender missed a part of this data centre's summaries. */
		| {readonly type: 'membership/summaryRequest'; readonly dataCentre: DataCentreId};

/** Timings of membership in milliseconds, and this node's place. */
export type MembershipConfig = {
	readonly self: NodeAddress;
	/** Grows with every start of this process. */
	readonly incarnation: number;
	/** Every entry host, this one among them. */
	readonly addresses: readonly NodeAddress[];
	readonly timings: MembershipTimings;
};

/** Timings of membership in milliseconds. */
export type MembershipTimings = {
	readonly heartbeatPeriodMs: number;
	/** Heartbeats to a dead peer are this far apart. */
	readonly deadHeartbeatPeriodMs: number;
	readonly suspectAfterMs: number;
	readonly deadAfterMs: number;
	/** The longest time between two summaries to another data centre. */
	readonly summaryPeriodMs: number;
	/** The shortest time between two summaries to another data centre. */
	readonly minimumSummaryGapMs: number;
	/** How old a summary may be before what it says counts as unknown. */
	readonly summaryLifetimeMs: number;
};
